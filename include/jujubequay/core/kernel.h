#pragma once

#include <jujubequay/core/invariant.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>

namespace Jujubequay {

/// Micro-kernel of a process: a registry in which its services, such as the clock and the logger, find each other by name.
/// Filled on the control thread before the traffic threads start; not changed afterwards.
///
///     Kernel kernel;
///     kernel.add<Clock>("clock", std::make_shared<SteadyClock>());
///     auto clock = kernel.find<Clock>("clock");
class Kernel
{
public:
    /// Registers a service under a name and an interface type. A name may be registered only once.
    template<class Interface>
    void add(std::string_view name, std::shared_ptr<Interface> service)
    {
        const bool inserted = m_services.try_emplace(std::string(name), Entry{typeid(Interface), std::move(service)}).second;
        checkInvariant(inserted, "a service name is registered once");
    }

    /// Returns the service; null if the name is unknown or was registered under another type.
    template<class Interface>
    std::shared_ptr<Interface> find(std::string_view name) const
    {
        const auto found = m_services.find(name);
        if (found == m_services.end() || found->second.type != typeid(Interface)) {
            return nullptr;
        }
        return std::static_pointer_cast<Interface>(found->second.service);
    }

private:
    struct Entry {
        std::type_index type;
        std::shared_ptr<void> service;
    };

    std::map<std::string, Entry, std::less<>> m_services;
};

}
