#include <jujubequay/control/report_store.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

ReportStore::ReportStore(std::string self, Options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void ReportStore::addReport(TimePoint now, pb::HostInForce report)
{
    report.set_connected(true);
    report.set_control_host(m_self);
    store(now, std::move(report));
}

void ReportStore::hostDisconnected(TimePoint now, const std::string &host)
{
    const auto found = m_records.find(host);
    if (found == m_records.end() || found->second.report.control_host() != m_self) {
        return;
    }
    pb::HostInForce report = found->second.report;
    report.set_connected(false);
    store(now, std::move(report));
}

void ReportStore::merge(TimePoint now, const pb::HostInForce &report)
{
    const auto found = m_records.find(report.host());
    // A host that has moved to another control host is still connected; only its former control host reports a disconnect.
    const bool isOutdated = !report.connected() && found != m_records.end() && found->second.report.control_host() != report.control_host();
    if (!isOutdated && report.control_host() != m_self) {
        store(now, report);
    }
}

void ReportStore::store(TimePoint now, pb::HostInForce report)
{
    Record &record = m_records[report.host()];
    record.report = std::move(report);
    record.receivedAt = now;
    record.changedAt = ++m_sequence;
}

void ReportStore::tick(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        return !entry.second.report.connected() && now - entry.second.receivedAt > m_options.retention;
    });
}

std::vector<pb::HostInForce> ReportStore::reports(TimePoint now) const
{
    std::vector<pb::HostInForce> all;
    for (const auto &[host, record] : m_records) {
        pb::HostInForce &report = all.emplace_back(record.report);
        report.set_report_age_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - record.receivedAt).count()));
    }
    return all;
}

std::uint64_t ReportStore::sequence() const
{
    return m_sequence;
}

std::vector<pb::HostInForce> ReportStore::localChangesAfter(std::uint64_t position) const
{
    std::vector<pb::HostInForce> changes;
    for (const auto &[host, record] : m_records) {
        if (record.changedAt > position && record.report.control_host() == m_self) {
            changes.push_back(record.report);
        }
    }
    return changes;
}

std::vector<std::uint32_t> ReportStore::flowKeysInUse(const std::set<std::string> &agentHosts, const std::vector<std::uint32_t> &allKeys) const
{
    std::set<std::uint32_t> inUse;
    for (const auto &[host, record] : m_records) {
        inUse.insert(record.report.flow_keys_in_use().begin(), record.report.flow_keys_in_use().end());
    }
    const bool isComplete = std::all_of(agentHosts.begin(), agentHosts.end(), [this](const std::string &host) {
        return m_records.contains(host);
    });
    if (!isComplete) {
        inUse.insert(allKeys.begin(), allKeys.end());
    }
    return {inUse.begin(), inUse.end()};
}

std::vector<std::string> ReportStore::hostsLackingFlowKeys(std::uint64_t flowKeyRevision) const
{
    std::vector<std::string> lagging;
    for (const auto &[host, record] : m_records) {
        if (record.report.connected() && record.report.flow_key_revision() < flowKeyRevision) {
            lagging.push_back(host);
        }
    }
    return lagging;
}

}
