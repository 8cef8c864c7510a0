#pragma once

#include <control.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Jujubequay {

/// The first answers to the last operations, so that a resend gets the same answer and never runs again.
///
/// A command names how many operations were applied when it was written. A resend can then be recognised without
/// clocks: while that number lies within the kept operations, an unknown identity is certainly new.
class OperationLog
{
public:
    explicit OperationLog(std::size_t capacity);

    /// Null if the identity is not among the kept ones.
    const jujubequay::pb::OperationRecord *find(const std::string &operationId) const;
    /// True if an unknown operation, written after `operationsSeen` operations, may have run and been dropped.
    bool isExpired(std::uint64_t operationsSeen) const;
    /// Number of operations ever added.
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
