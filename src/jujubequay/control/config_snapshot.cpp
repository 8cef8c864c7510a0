#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/core/name_table.h>

#include <algorithm>

namespace Jujubequay {

namespace {

constexpr NameTable<ServerAvailability, 5> availabilityNames{{{
    {ServerAvailability::Starting, "starting"},
    {ServerAvailability::Serving, "serving"},
    {ServerAvailability::Draining, "draining"},
    {ServerAvailability::Left, "left"},
    {ServerAvailability::Suspect, "suspect"},
}}};

template<class Predicate>
const ServiceSnapshot *findServiceIf(const std::vector<ServiceSnapshot> &services, Predicate predicate)
{
    const auto found = std::find_if(services.begin(), services.end(), predicate);
    return found == services.end() ? nullptr : &*found;
}

}

std::string_view serverAvailabilityName(ServerAvailability state)
{
    return availabilityNames.name(state);
}

bool isConfirmed(Incarnation incarnation)
{
    return incarnation != Incarnation() && incarnation != unconfirmedIncarnation;
}

bool ServerSnapshot::acceptsNewWork() const
{
    return state == ServerAvailability::Serving || state == ServerAvailability::Suspect;
}

const ServiceSnapshot *ConfigSnapshot::findService(ServiceId id) const
{
    return findServiceIf(services, [id](const ServiceSnapshot &service) {
        return service.id == id;
    });
}

const ServiceSnapshot *ConfigSnapshot::findService(std::string_view name) const
{
    return findServiceIf(services, [name](const ServiceSnapshot &service) {
        return service.name == name;
    });
}

}
