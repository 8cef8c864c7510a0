#include <jujubequay/control/operation_log.h>
#include <jujubequay/core/invariant.h>

namespace Jujubequay {

namespace pb = jujubequay::pb;

OperationLog::OperationLog(std::size_t capacity)
    : m_capacity(capacity)
{
}

const pb::OperationRecord *OperationLog::find(const std::string &operationId) const
{
    const auto found = m_records.find(operationId);
    return found == m_records.end() ? nullptr : &found->second;
}

bool OperationLog::isExpired(std::uint64_t operationsSeen) const
{
    return m_applied > m_capacity && operationsSeen < m_applied - m_capacity;
}

std::uint64_t OperationLog::applied() const
{
    return m_applied;
}

void OperationLog::add(const pb::OperationRecord &record)
{
    m_order.push_back(record.operation_id());
    const bool inserted = m_records.try_emplace(record.operation_id(), record).second;
    checkInvariant(inserted, "an operation is added only once");
    ++m_applied;
    if (m_order.size() > m_capacity) {
        m_records.erase(m_order.front());
        m_order.pop_front();
    }
}

void OperationLog::save(pb::ControlSnapshot &snapshot) const
{
    snapshot.set_operations_applied(m_applied);
    for (const std::string &operationId : m_order) {
        *snapshot.add_operations() = m_records.at(operationId);
    }
}

void OperationLog::load(const pb::ControlSnapshot &snapshot)
{
    for (const pb::OperationRecord &record : snapshot.operations()) {
        add(record);
    }
    m_applied = snapshot.operations_applied();
}

}
