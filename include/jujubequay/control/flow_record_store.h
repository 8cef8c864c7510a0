#pragma once

#include <jujubequay/control/flow_record_set.h>
#include <jujubequay/control/lease_registry.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>

#include <control.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubequay {

/// Flows whose server has ended, for the agent that has to notify their callers.
struct EndedFlows {
    HostAddress agent;
    jujubequay::pb::FlowRecords flows;
};

struct FlowRecordStoreOptions {
    std::size_t maxFlows = 65536; ///< limit of the flows of all servers; agents beyond it are not recorded
    /// Records of an agent whose stream has ended are kept for this time, in which the host of the agent may restart.
    Duration retention = std::chrono::seconds(20);
    Duration repeatDelay = std::chrono::milliseconds(250); ///< ended flows are reported twice, since a datagram may be lost
    std::chrono::milliseconds maxFileAge = std::chrono::seconds(60); ///< older files are ignored; flows have other owners or have ended
};

/// Open flows of the agents that watch this control host. After a loss of power neither a server nor its agent nor the registrars of its
/// flows remember them. Their callers would lose the next request that they send on such a flow, so the control host reports the flows to the
/// agent once the registry lists another incarnation of the server.
///
/// Best effort, outside of the replicated log: records may be missing or up to a second old. An agent ends a flow only if its own server is
/// another incarnation than the one that is recorded.
class FlowRecordStore
{
public:
    explicit FlowRecordStore(FlowRecordStoreOptions options);

    /// Handles the records of an agent. Fails with BadRequest for malformed records and beyond the limit.
    Result<void> receive(const std::string &agent, const jujubequay::pb::FlowRecords &records);
    void streamEnded(TimePoint now, const std::string &agent);
    /// Returns the flows of servers that were replaced, and forgets records that are too old.
    std::vector<EndedFlows> tick(TimePoint now, const LeaseRegistry &registry);

    std::size_t flowCount() const;
    /// True if records have changed since the last call.
    bool takeChanged();
    std::string toFile(std::uint64_t wallMs) const;
    /// Adds the records of a file. Returns the number of flows. Fails with BadRequest if it is malformed or too old.
    Result<std::size_t> load(TimePoint now, std::uint64_t wallMs, const std::string &file);

private:
    struct Record {
        FlowRecordSet flows;
        std::optional<TimePoint> streamEndedAt;
        std::optional<TimePoint> reportedAt; ///< when the flows were reported as ended
    };
    using Key = std::pair<std::string, Incarnation>; // agent and incarnation of its server

    const FlowRecordStoreOptions m_options;
    std::map<Key, Record> m_records;
    bool m_isChanged = false;
};

}
