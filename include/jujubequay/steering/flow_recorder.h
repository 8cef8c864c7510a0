#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/steering/segment.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Jujubequay {

/// A change of the recorded open flows.
struct FlowRecordChange {
    FlowTuple tuple;
    std::uint32_t acknowledgement = 0; ///< last acknowledgement number of the caller
    bool isOpen = true; ///< false if the flow has ended
};

struct FlowRecorderOptions {
    /// Younger flows are not recorded: flows with a single request end before anyone could use the record.
    Duration minAge = std::chrono::seconds(1);
    /// A flow is recorded again once its acknowledgement number has advanced by so much. A caller accepts a reset whose sequence number is
    /// at most 76,800 bytes away from its last acknowledgement.
    std::uint32_t maxAcknowledgementLag = 24000;
    std::size_t maxFlows = 256; ///< limit of recorded flows
};

/// Selects what an agent reports of its open flows, so that the control hosts can tell it after a loss of power which callers have flows that
/// do not exist any more.
class FlowRecorder
{
public:
    explicit FlowRecorder(FlowRecorderOptions options);

    /// Call it for each open flow, and `takeChanges` after that.
    void observe(TimePoint now, const FlowTuple &tuple, TimePoint openedAt, std::uint32_t acknowledgement);
    /// Returns the changes since the last call. Flows that were not observed have ended.
    std::vector<FlowRecordChange> takeChanges();
    /// Forgets all flows, because they have ended with their server.
    void clear();

private:
    struct Record {
        std::uint32_t acknowledgement = 0;
        bool isObserved = false;
    };

    const FlowRecorderOptions m_options;
    std::unordered_map<FlowTuple, Record> m_records;
    std::vector<FlowRecordChange> m_changes;
};

}
