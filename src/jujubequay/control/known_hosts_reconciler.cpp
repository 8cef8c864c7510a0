#include <jujubequay/control/known_hosts_reconciler.h>

namespace Jujubequay {

namespace pb = jujubequay::pb;

KnownHostsReconciler::KnownHostsReconciler(KnownHostsReconcilerOptions options)
    : m_options(options)
{
}

bool KnownHostsReconciler::isDue(TimePoint now) const
{
    return !m_lastDecision || now - *m_lastDecision >= m_options.interval;
}

std::optional<pb::ChangeKnownHosts> KnownHostsReconciler::next(TimePoint now,
                                                               const KnownHosts &known,
                                                               const KnownHosts &present,
                                                               const std::set<std::string> &ended)
{
    m_lastDecision = now;
    pb::ChangeKnownHosts change;
    for (const auto &[address, host] : present) {
        m_silentSince.erase(address);
        const auto found = known.find(address);
        if (found == known.end() || found->second.has_server() != host.has_server()) {
            *change.add_added() = host;
        }
    }
    for (const auto &[address, host] : known) {
        if (present.contains(address)) {
            continue;
        }
        const TimePoint since = m_silentSince.try_emplace(address, now).first->second;
        if (ended.contains(address) || now - since >= m_options.forgetAfter) {
            change.add_removed(address);
        }
    }
    std::erase_if(m_silentSince, [&known](const auto &entry) {
        return !known.contains(entry.first);
    });
    const bool isEmpty = change.added_size() == 0 && change.removed_size() == 0;
    return isEmpty ? std::nullopt : std::optional(std::move(change));
}

void KnownHostsReconciler::reset()
{
    m_silentSince.clear();
    m_lastDecision.reset();
}

}
