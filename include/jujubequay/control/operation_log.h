#pragma once

#include <control.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Jujubequay {

/// Keeps the first answers to the most recent operations, so that a resent operation gets the same answer and never runs again.
///
/// A command states how many operations were applied when it was written. A resend can therefore be recognised without clocks: as
/// long as this number is within the kept operations, an unknown identity belongs to a new operation.
class OperationLog
{
public:
    explicit OperationLog(std::size_t capacity);

    /// Null if no operation with this identity is kept.
    const jujubequay::pb::OperationRecord *find(const std::string &operationId) const;
    /// True if an unknown operation that was written after `operationsSeen` operations may have run, with its answer dropped since.
    bool isExpired(std::uint64_t operationsSeen) const;
    /// Total number of operations added, including dropped ones.
    std::uint64_t applied() const;

    void add(const jujubequay::pb::OperationRecord &record);
    void save(jujubequay::pb::ControlSnapshot &snapshot) const;
    void load(const jujubequay::pb::ControlSnapshot &snapshot);

private:
    std::size_t m_capacity;
    std::uint64_t m_applied = 0;
    std::deque<std::string> m_order; // oldest first
    std::unordered_map<std::string, jujubequay::pb::OperationRecord> m_records;
};

}
