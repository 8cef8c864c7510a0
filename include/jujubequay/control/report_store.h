#pragma once

#include <jujubequay/core/clock.h>

#include <control.pb.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jujubequay {

/// What balancers and agents reported to be in force on them, on all control hosts. Soft state.
class ReportStore
{
public:
    struct Options {
        /// A host that is cut off may have open flows for long, so its report still counts for this time.
        Duration retention = std::chrono::hours(2);
    };

    ReportStore(std::string self, Options options);

    /// Takes a report of a host that watches this control host.
    void report(TimePoint now, jujubequay::pb::HostInForce report);
    void disconnected(TimePoint now, const std::string &host);
    /// Takes a report from another control host.
    void merge(TimePoint now, const jujubequay::pb::HostInForce &report);
    void tick(TimePoint now);

    /// All reports, with their ages, ordered by host.
    std::vector<jujubequay::pb::HostInForce> reports(TimePoint now) const;
    std::uint64_t sequence() const;
    /// Reports of hosts that watch this control host, changed after a position.
    std::vector<jujubequay::pb::HostInForce> localChangesAfter(std::uint64_t position) const;

    /// Numbers of the flow keys that open flows use. `agentHosts` are the hosts with an announced backend server: while
    /// one of them has no report, every key in `allKeys` counts as in use.
    std::vector<std::uint32_t> flowKeysInUse(const std::set<std::string> &agentHosts, const std::vector<std::uint32_t> &allKeys) const;
    /// Connected hosts that do not have the flow keys of this revision yet.
    std::vector<std::string> flowKeysLagging(std::uint64_t flowKeyRevision) const;

private:
    struct Record {
        jujubequay::pb::HostInForce report;
        TimePoint receivedAt{};
        std::uint64_t changedAt = 0;
    };

    void put(TimePoint now, jujubequay::pb::HostInForce report);

    const std::string m_self;
    const Options m_options;
    std::map<std::string, Record> m_records;
    std::uint64_t m_sequence = 0;
};

}
