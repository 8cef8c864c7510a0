#include <jujubequay/control/known_hosts_reconciler.h>

namespace Jujubequay {

namespace pb = jujubequay::pb;

KnownHostsReconciler::KnownHostsReconciler(KnownHostsReconcilerOptions options)
    : m_options(options)
{
}

bool KnownHostsReconciler::isDue(TimePoint now) const
{
    return !m_lastReconciledAt || now - *m_lastReconciledAt >= m_options.interval;
}

std::optional<pb::ChangeKnownHosts> KnownHostsReconciler::nextChange(TimePoint now,
                                                                     const KnownHosts &known,
                                                                     const KnownHosts &current,
                                                                     const std::set<std::string> &leftServers)
{
    m_lastReconciledAt = now;
    pb::ChangeKnownHosts change;
    for (const auto &[address, host] : current) {
        m_absentSince.erase(address);
        const auto found = known.find(address);
        if (found == known.end() || found->second.has_server() != host.has_server()) {
            *change.add_added() = host;
        }
    }
    for (const auto &[address, host] : known) {
        if (current.contains(address)) {
            continue;
        }
        const TimePoint since = m_absentSince.try_emplace(address, now).first->second;
        if (leftServers.contains(address) || now - since >= m_options.absenceTimeout) {
            change.add_removed(address);
        }
    }
    std::erase_if(m_absentSince, [&known](const auto &entry) {
        return !known.contains(entry.first);
    });
    const bool isEmpty = change.added_size() == 0 && change.removed_size() == 0;
    return isEmpty ? std::nullopt : std::optional(std::move(change));
}

void KnownHostsReconciler::reset()
{
    m_absentSince.clear();
    m_lastReconciledAt.reset();
}

}
