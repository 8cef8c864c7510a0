#pragma once

#include <jujubequay/core/clock.h>

#include <control.pb.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jujubequay {

/// Stores the reports of balancers and agents about the configuration in force on them, from all control hosts. Soft state.
class ReportStore
{
public:
    struct Options {
        /// Time for which the report of a disconnected host still counts; such a host may have open flows for long.
        Duration retention = std::chrono::hours(2);
    };

    ReportStore(std::string self, Options options);

    /// Stores the report of a host that watches this control host.
    void addReport(TimePoint now, jujubequay::pb::HostInForce report);
    void hostDisconnected(TimePoint now, const std::string &host);
    /// Stores a report that another control host has sent.
    void merge(TimePoint now, const jujubequay::pb::HostInForce &report);
    void tick(TimePoint now);

    /// All reports with their ages, ordered by host.
    std::vector<jujubequay::pb::HostInForce> reports(TimePoint now) const;
    std::uint64_t sequence() const;
    /// Reports of hosts that watch this control host that changed after a sequence number.
    std::vector<jujubequay::pb::HostInForce> localChangesAfter(std::uint64_t position) const;

    /// Numbers of the flow keys that open flows use. `agentHosts`: hosts with an announced backend server; while one of them has no
    /// report, every key in `allKeys` counts as in use.
    std::vector<std::uint32_t> flowKeysInUse(const std::set<std::string> &agentHosts, const std::vector<std::uint32_t> &allKeys) const;
    /// Connected hosts that have not received the flow keys of this revision yet.
    std::vector<std::string> hostsLackingFlowKeys(std::uint64_t flowKeyRevision) const;

private:
    struct Record {
        jujubequay::pb::HostInForce report;
        TimePoint receivedAt{};
        std::uint64_t changedAt = 0;
    };

    void store(TimePoint now, jujubequay::pb::HostInForce report);

    const std::string m_self;
    const Options m_options;
    std::map<std::string, Record> m_records;
    std::uint64_t m_sequence = 0;
};

}
