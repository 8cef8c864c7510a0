#include "command_context.h"

#include <fmt/ranges.h>

#include <map>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

/// Most lagging hosts that are listed for one zone.
constexpr std::size_t maxShownLaggingHosts = 10;
constexpr std::uint64_t msPerSecond = 1000;

/// Summary of the reports of all hosts in one availability zone.
struct ZoneStatus {
    std::size_t hosts = 0;
    std::size_t inForce = 0; ///< hosts with the current revision
    std::vector<std::string> lagging; ///< descriptions of hosts with an older revision
};

std::map<std::string, ZoneStatus> statusByZone(const pb::StatusAnswer &status)
{
    std::map<std::string, ZoneStatus> zones;
    for (const pb::HostInForce &host : status.hosts()) {
        ZoneStatus &zone = zones[host.zone()];
        ++zone.hosts;
        if (host.revision() >= status.revision()) {
            ++zone.inForce;
        } else {
            zone.lagging.push_back(fmt::format("{}({}{})", host.host(), host.revision(), host.connected() ? "" : ", disconnected"));
        }
    }
    return zones;
}

std::string bundleStateName(pb::BundleState state)
{
    switch (state) {
    case pb::BUNDLE_STATE_SIGNED:
        return "signed";
    case pb::BUNDLE_STATE_IN_FORCE:
        return "in force";
    case pb::BUNDLE_STATE_SUPERSEDED:
        return "superseded";
    default:
        return "proposed";
    }
}

std::string serverStateName(pb::ServerState state)
{
    switch (state) {
    case pb::SERVER_STATE_SERVING:
        return "serving";
    case pb::SERVER_STATE_DRAINING:
        return "draining";
    case pb::SERVER_STATE_SUSPECT:
        return "suspect";
    case pb::SERVER_STATE_LEFT:
        return "left";
    default:
        return "starting";
    }
}

void printStatusTables(const pb::StatusAnswer &status)
{
    fmt::print("revision {} (answered by {}, leader {})\n",
               status.revision(),
               status.answered_by(),
               status.leader_address().empty() ? "unknown" : status.leader_address());
    TextTable services("services in force", {"service", "number", "version", "revision", "digest"});
    for (const pb::ServiceConfig &service : status.services()) {
        services.add({service.service(),
                      std::to_string(service.service_id()),
                      std::to_string(service.version()),
                      std::to_string(service.revision()),
                      toHex(service.digest())});
    }
    services.print();
    TextTable zones("availability zones", {"zone", "in force", "hosts", "lagging"});
    for (const auto &[name, zone] : statusByZone(status)) {
        const std::size_t shown = std::min(zone.lagging.size(), maxShownLaggingHosts);
        std::string lagging = fmt::format("{}", fmt::join(zone.lagging.begin(), zone.lagging.begin() + static_cast<std::ptrdiff_t>(shown), " "));
        lagging += zone.lagging.size() > shown ? fmt::format(" and {} more", zone.lagging.size() - shown) : "";
        zones.add({name, std::to_string(zone.inForce), std::to_string(zone.hosts), lagging});
    }
    zones.print();
    TextTable hosts("control hosts", {"host", "address", "role", "reachable", "repair"});
    for (const pb::ControlHostStatus &host : status.control_hosts()) {
        hosts.add({host.host(), host.address(), host.leader() ? "leader" : host.voter() ? "voter" : "learner", host.reachable() ? "yes" : "no", host.repair()});
    }
    hosts.print();
    if (status.bundles_size() > 0) {
        TextTable bundles("bundles", {"service", "version", "state", "proposed by", "signatures"});
        for (const pb::Bundle &bundle : status.bundles()) {
            pb::BundleContent content;
            content.ParseFromString(bundle.content());
            bundles.add({content.service(),
                         std::to_string(content.version()),
                         bundleStateName(bundle.state()),
                         bundle.proposed_by(),
                         std::to_string(bundle.signatures_size())});
        }
        bundles.print();
    }
    if (status.servers_size() > 0) {
        TextTable servers("backend servers", {"name", "service", "zone", "address", "state", "incarnation"});
        for (const pb::ServerEntry &server : status.servers()) {
            servers.add({server.name(),
                         server.service(),
                         server.zone(),
                         server.relay_address(),
                         serverStateName(server.state()),
                         std::to_string(server.incarnation())});
        }
        servers.print();
    }
}

void printStatusJson(const pb::StatusAnswer &status)
{
    toml::array services;
    for (const pb::ServiceConfig &service : status.services()) {
        services.push_back(toml::table{{"service", service.service()},
                                       {"number", toJsonInteger(service.service_id())},
                                       {"version", toJsonInteger(service.version())},
                                       {"revision", toJsonInteger(service.revision())},
                                       {"digest", toHex(service.digest())}});
    }
    toml::array hosts;
    for (const pb::HostInForce &host : status.hosts()) {
        toml::array flowKeys;
        for (const std::uint32_t number : host.flow_keys_in_use()) {
            flowKeys.push_back(toJsonInteger(number));
        }
        hosts.push_back(toml::table{{"host", host.host()},
                                    {"zone", host.zone()},
                                    {"role", host.role()},
                                    {"revision", toJsonInteger(host.revision())},
                                    {"lagging", host.revision() < status.revision()},
                                    {"connected", host.connected()},
                                    {"flow_keys_in_use", flowKeys},
                                    {"report_age_s", toJsonInteger(host.report_age_ms() / msPerSecond)}});
    }
    toml::array controlHosts;
    for (const pb::ControlHostStatus &host : status.control_hosts()) {
        controlHosts.push_back(toml::table{{"host", host.host()},
                                           {"address", host.address()},
                                           {"voter", host.voter()},
                                           {"leader", host.leader()},
                                           {"reachable", host.reachable()},
                                           {"repair", host.repair()}});
    }
    toml::array bundles;
    for (const pb::Bundle &bundle : status.bundles()) {
        pb::BundleContent content;
        content.ParseFromString(bundle.content());
        bundles.push_back(toml::table{{"service", content.service()},
                                      {"version", toJsonInteger(content.version())},
                                      {"state", bundleStateName(bundle.state())},
                                      {"proposed_by", bundle.proposed_by()},
                                      {"signatures", toJsonInteger(static_cast<std::uint64_t>(bundle.signatures_size()))}});
    }
    toml::array servers;
    for (const pb::ServerEntry &server : status.servers()) {
        servers.push_back(toml::table{{"name", server.name()},
                                      {"service", server.service()},
                                      {"zone", server.zone()},
                                      {"address", server.relay_address()},
                                      {"state", serverStateName(server.state())},
                                      {"incarnation", toJsonInteger(server.incarnation())}});
    }
    printJson(toml::table{{"result", resultName(static_cast<ResultCode>(status.result()))},
                          {"revision", toJsonInteger(status.revision())},
                          {"answered_by", status.answered_by()},
                          {"leader_address", status.leader_address()},
                          {"services", services},
                          {"hosts", hosts},
                          {"control_hosts", controlHosts},
                          {"bundles", bundles},
                          {"servers", servers}});
}

}

Result<void> showStatus(const Arguments &arguments)
{
    OnlineCommand command({"jjq status",
                           "Shows what is in force in each availability zone, the lagging hosts, and the control hosts.",
                           {{"jjq status --settings jjq.toml", "Shows the summary."},
                            {"jjq status --settings jjq.toml --servers --output json", "Adds the backend servers, as JSON."}}});
    TCLAP::SwitchArg servers("", "servers", "show the backend servers", command.parser());
    TCLAP::SwitchArg bundles("", "bundles", "show all stored bundles", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    pb::StatusRequest request;
    request.set_with_servers(servers.getValue());
    request.set_with_bundles(bundles.getValue());
    BOOST_LEAF_AUTO(status, command.connection().status(request));
    if (command.format() == OutputFormat::Json) {
        printStatusJson(status);
    } else {
        printStatusTables(status);
    }
    if (status.result() != 0) {
        return fail(static_cast<ResultCode>(status.result()), "no majority of control hosts confirmed this status; it may be outdated");
    }
    return {};
}

}
