#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/control/flow_record_store.h>

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

/// True if the registry lists another incarnation of the server, which must have taken its place.
bool isReplaced(const LeaseRegistry &registry, const std::string &agent, Incarnation incarnation)
{
    const pb::ServerEntry *entry = registry.find(agent);
    const bool isRunning = entry != nullptr && (entry->state() == pb::SERVER_STATE_SERVING || entry->state() == pb::SERVER_STATE_DRAINING);
    return isRunning && isConfirmed({entry->incarnation()}) && Incarnation{entry->incarnation()} != incarnation;
}

}

FlowRecordStore::FlowRecordStore(FlowRecordStoreOptions options)
    : m_options(options)
{
}

Result<void> FlowRecordStore::receive(const std::string &agent, const pb::FlowRecords &records)
{
    const Incarnation incarnation{records.incarnation()};
    if (!isConfirmed(incarnation) || !parseHostAddress(agent)) {
        return fail(ResultCode::BadRequest, fmt::format("agent \"{}\", incarnation {}: not an address and a confirmed incarnation", agent, incarnation.value));
    }
    const std::size_t added = static_cast<std::size_t>(records.open_size());
    if (flowCount() + added > m_options.maxFlows) {
        return fail(ResultCode::BadRequest, fmt::format("{} flows of agent {} exceed the limit of {} flows", added, agent, m_options.maxFlows));
    }
    Record &record = m_records.try_emplace({agent, incarnation}, Record{FlowRecordSet(incarnation), {}, {}}).first->second;
    BOOST_LEAF_CHECK(record.flows.apply(records));
    record.streamEndedAt.reset();
    m_isChanged = true;
    return {};
}

void FlowRecordStore::streamEnded(TimePoint now, const std::string &agent)
{
    for (auto entry = m_records.lower_bound({agent, Incarnation()}); entry != m_records.end() && entry->first.first == agent; ++entry) {
        entry->second.streamEndedAt = entry->second.streamEndedAt.value_or(now);
    }
}

std::vector<EndedFlows> FlowRecordStore::tick(TimePoint now, const LeaseRegistry &registry)
{
    std::vector<EndedFlows> ended;
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        const auto &[agent, incarnation] = entry->first;
        Record &record = entry->second;
        const bool isFirstReport = !record.reportedAt && isReplaced(registry, agent, incarnation);
        const bool isLastReport = record.reportedAt && now - *record.reportedAt >= m_options.repeatDelay;
        const bool isExpired = record.streamEndedAt && now - *record.streamEndedAt > m_options.retention;
        if ((isFirstReport || isLastReport) && record.flows.size() > 0) {
            record.reportedAt = now;
            ended.push_back({*parseHostAddress(agent), record.flows.toMessage()});
        }
        const bool isDone = isLastReport || isExpired || (isFirstReport && record.flows.size() == 0);
        m_isChanged = m_isChanged || isDone;
        entry = isDone ? m_records.erase(entry) : std::next(entry);
    }
    return ended;
}

std::size_t FlowRecordStore::flowCount() const
{
    return std::accumulate(m_records.begin(), m_records.end(), std::size_t{0}, [](std::size_t sum, const auto &entry) {
        return sum + entry.second.flows.size();
    });
}

bool FlowRecordStore::takeChanged()
{
    return std::exchange(m_isChanged, false);
}

std::string FlowRecordStore::toFile(std::uint64_t wallMs) const
{
    pb::FlowRecordFile file;
    file.set_saved_ms(wallMs);
    for (const auto &[key, record] : m_records) {
        pb::FlowRecordFile::Agent &agent = *file.add_agents();
        agent.set_address(key.first);
        *agent.mutable_records() = record.flows.toMessage();
    }
    return file.SerializeAsString();
}

Result<std::size_t> FlowRecordStore::load(TimePoint now, std::uint64_t wallMs, const std::string &bytes)
{
    pb::FlowRecordFile file;
    if (!file.ParseFromString(bytes)) {
        return fail(ResultCode::BadRequest, fmt::format("{} bytes are not a file of flow records", bytes.size()));
    }
    // The wall clock may have been set back since.
    const std::uint64_t age = std::max(wallMs, file.saved_ms()) - std::min(wallMs, file.saved_ms());
    const auto maxAge = static_cast<std::uint64_t>(m_options.maxFileAge.count());
    if (age > maxAge) {
        return fail(ResultCode::BadRequest, fmt::format("flow records were saved {} ms ago, more than {} ms", age, maxAge));
    }
    for (const pb::FlowRecordFile::Agent &agent : file.agents()) {
        BOOST_LEAF_CHECK(receive(agent.address(), agent.records()));
        streamEnded(now, agent.address());
    }
    return flowCount();
}

}
