#include <jujubequay/steering/flow_recorder.h>

#include <utility>

namespace Jujubequay {

FlowRecorder::FlowRecorder(FlowRecorderOptions options)
    : m_options(options)
{
}

void FlowRecorder::observe(TimePoint now, const FlowTuple &tuple, TimePoint openedAt, std::uint32_t acknowledgement)
{
    const auto found = m_records.find(tuple);
    if (found == m_records.end()) {
        if (now - openedAt >= m_options.minAge && m_records.size() < m_options.maxFlows) {
            m_records.emplace(tuple, Record{acknowledgement, true});
            m_changes.push_back({tuple, acknowledgement, true});
        }
        return;
    }
    Record &record = found->second;
    record.isObserved = true;
    if (acknowledgement - record.acknowledgement >= m_options.maxAcknowledgementLag) {
        record.acknowledgement = acknowledgement;
        m_changes.push_back({tuple, acknowledgement, true});
    }
}

std::vector<FlowRecordChange> FlowRecorder::takeChanges()
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        if (entry->second.isObserved) {
            entry->second.isObserved = false;
            ++entry;
        } else {
            m_changes.push_back({entry->first, entry->second.acknowledgement, false});
            entry = m_records.erase(entry);
        }
    }
    return std::exchange(m_changes, {});
}

void FlowRecorder::clear()
{
    m_records.clear();
    m_changes.clear();
}

}
