#include <jujubequay/control/watched_servers.h>
#include <jujubequay/core/identifiers.h>

#include <fmt/format.h>

#include <limits>
#include <map>
#include <tuple>
#include <vector>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

/// Most servers have this weight, which is therefore encoded as 0.
constexpr std::uint32_t ordinaryWeight = 100;
constexpr std::uint32_t maxPort = std::numeric_limits<std::uint16_t>::max();

auto visibleFields(const pb::ServerEntry &entry)
{
    return std::make_tuple(entry.service(),
                           entry.zone(),
                           entry.relay_address(),
                           entry.incarnation(),
                           entry.agent_epoch(),
                           static_cast<int>(entry.state()),
                           entry.order(),
                           entry.weight(),
                           entry.accepts_service_keys(),
                           hasDeregistered(entry));
}

/// Indices of the services and availability zones that a message names.
class NameIndices
{
public:
    std::uint32_t indexOf(const std::string &name, pb::RegistryDelta &delta)
    {
        const auto [entry, isNew] = m_indices.try_emplace(name, static_cast<std::uint32_t>(m_indices.size()));
        if (isNew) {
            delta.add_names(name);
        }
        return entry->second;
    }

private:
    std::map<std::string, std::uint32_t> m_indices;
};

Result<void> checkWatchedServer(const pb::WatchedServer &server, int nameCount)
{
    const auto fail = [](const char *field, std::uint64_t value, std::uint64_t bound) {
        return Jujubequay::fail(ResultCode::BadRequest, fmt::format("{} {} exceeds {}", field, value, bound));
    };
    const auto lastName = static_cast<std::uint32_t>(nameCount) - 1;
    if (nameCount == 0 || server.service() > lastName) {
        return fail("service", server.service(), nameCount == 0 ? 0 : lastName);
    }
    if (server.zone() > lastName) {
        return fail("zone", server.zone(), lastName);
    }
    if (server.port() > maxPort) {
        return fail("port", server.port(), maxPort);
    }
    if (!pb::ServerState_IsValid(static_cast<int>(server.state()))) {
        return fail("state", static_cast<std::uint64_t>(server.state()), static_cast<std::uint64_t>(pb::ServerState_MAX));
    }
    return {};
}

}

// A control host that removes a server increments the observation of its entry.
bool hasDeregistered(const pb::ServerEntry &entry)
{
    return entry.state() == pb::SERVER_STATE_LEFT && entry.observation() == 0;
}

bool isVisibleToWatchers(const pb::ServerEntry &previous, const pb::ServerEntry &entry)
{
    return visibleFields(previous) != visibleFields(entry);
}

void compactServers(pb::RegistryDelta &delta)
{
    NameIndices indices;
    std::vector<pb::ServerEntry> others; // entries whose address cannot be encoded
    for (pb::ServerEntry &entry : *delta.mutable_servers()) {
        const auto address = parseHostAddress(entry.relay_address());
        if (!address) {
            others.push_back(std::move(entry));
            continue;
        }
        pb::WatchedServer &server = *delta.add_watched();
        server.set_ip(address->ip);
        server.set_port(address->port);
        server.set_incarnation(entry.incarnation());
        server.set_agent_epoch(entry.agent_epoch());
        server.set_state(entry.state());
        server.set_service(indices.indexOf(entry.service(), delta));
        server.set_zone(indices.indexOf(entry.zone(), delta));
        server.set_order(entry.order());
        server.set_weight(entry.weight() == ordinaryWeight ? 0 : entry.weight());
        server.set_deregistered(hasDeregistered(entry));
        server.set_accepts_service_keys(entry.accepts_service_keys());
        if (entry.name() != entry.relay_address()) {
            server.set_name(entry.name());
        }
    }
    delta.mutable_servers()->Assign(others.begin(), others.end());
}

Result<void> expandServers(pb::RegistryDelta &delta)
{
    for (const pb::WatchedServer &server : delta.watched()) {
        BOOST_LEAF_CHECK(checkWatchedServer(server, delta.names_size()));
    }
    for (const pb::WatchedServer &server : delta.watched()) {
        pb::ServerEntry &entry = *delta.add_servers();
        entry.set_relay_address(toString(HostAddress{server.ip(), static_cast<std::uint16_t>(server.port())}));
        entry.set_name(server.name().empty() ? entry.relay_address() : server.name());
        entry.set_service(delta.names(static_cast<int>(server.service())));
        entry.set_zone(delta.names(static_cast<int>(server.zone())));
        entry.set_incarnation(server.incarnation());
        entry.set_agent_epoch(server.agent_epoch());
        entry.set_state(server.state());
        entry.set_order(server.order());
        entry.set_weight(server.weight() == 0 ? ordinaryWeight : server.weight());
        entry.set_observation(server.deregistered() ? 0 : 1);
        entry.set_accepts_service_keys(server.accepts_service_keys());
    }
    delta.clear_watched();
    delta.clear_names();
    return {};
}

}
