#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>

#include <control.pb.h>

#include <cstdint>
#include <map>
#include <utility>

namespace Jujubequay {

/// The recorded open flows of one incarnation of a backend server.
class FlowRecordSet
{
public:
    /// Limit of the flows of one server. Further ones are not recorded.
    static constexpr std::size_t maxFlows = 256;

    explicit FlowRecordSet(Incarnation incarnation);

    /// Applies a change. Fails with BadRequest, and then changes nothing, if a port is out of range.
    Result<void> apply(const jujubequay::pb::FlowRecords &change);

    Incarnation incarnation() const;
    std::size_t size() const;
    /// All records as a change that replaces earlier ones.
    jujubequay::pb::FlowRecords toMessage() const;

private:
    using Key = std::pair<HostAddress, HostAddress>; // caller, service address

    Incarnation m_incarnation;
    std::map<Key, std::uint32_t> m_acknowledgements;
};

}
