#include <jujubequay/control/flow_record_set.h>

#include <fmt/format.h>

#include <limits>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::uint32_t maxPort = std::numeric_limits<std::uint16_t>::max();

std::pair<HostAddress, HostAddress> keyOf(const pb::FlowRecord &record)
{
    return {{record.caller_ip(), static_cast<std::uint16_t>(record.caller_port())}, {record.service_ip(), static_cast<std::uint16_t>(record.service_port())}};
}

Result<void> checkPorts(const google::protobuf::RepeatedPtrField<pb::FlowRecord> &records)
{
    for (const pb::FlowRecord &record : records) {
        for (const std::uint32_t port : {record.caller_port(), record.service_port()}) {
            if (port > maxPort) {
                return fail(ResultCode::BadRequest, fmt::format("port {} exceeds {}", port, maxPort));
            }
        }
    }
    return {};
}

}

FlowRecordSet::FlowRecordSet(Incarnation incarnation)
    : m_incarnation(incarnation)
{
}

Result<void> FlowRecordSet::apply(const pb::FlowRecords &change)
{
    BOOST_LEAF_CHECK(checkPorts(change.open()));
    BOOST_LEAF_CHECK(checkPorts(change.closed()));
    if (change.full()) {
        m_acknowledgements.clear();
    }
    for (const pb::FlowRecord &record : change.closed()) {
        m_acknowledgements.erase(keyOf(record));
    }
    for (const pb::FlowRecord &record : change.open()) {
        const auto found = m_acknowledgements.find(keyOf(record));
        if (found != m_acknowledgements.end()) {
            found->second = record.acknowledgement();
        } else if (m_acknowledgements.size() < maxFlows) {
            m_acknowledgements.emplace(keyOf(record), record.acknowledgement());
        }
    }
    return {};
}

Incarnation FlowRecordSet::incarnation() const
{
    return m_incarnation;
}

std::size_t FlowRecordSet::size() const
{
    return m_acknowledgements.size();
}

pb::FlowRecords FlowRecordSet::toMessage() const
{
    pb::FlowRecords message;
    message.set_incarnation(m_incarnation.value);
    message.set_full(true);
    for (const auto &[key, acknowledgement] : m_acknowledgements) {
        pb::FlowRecord &record = *message.add_open();
        record.set_caller_ip(key.first.ip);
        record.set_caller_port(key.first.port);
        record.set_service_ip(key.second.ip);
        record.set_service_port(key.second.port);
        record.set_acknowledgement(acknowledgement);
    }
    return message;
}

}
