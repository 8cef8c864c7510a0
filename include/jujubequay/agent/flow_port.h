#pragma once

#include <jujubequay/quic/quic_event.h>

#include <cstdint>
#include <optional>
#include <span>

namespace Jujubequay {

/// The operations of the request broker on flows. QuicServer has operations of the same names and meaning.
class FlowPort
{
public:
    virtual ~FlowPort() = default;

    virtual std::size_t write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end) = 0;
    virtual std::optional<StreamNumber> openUnidirectionalStream(FlowHandle flow) = 0;
    virtual void consume(FlowHandle flow, StreamNumber stream, std::size_t bytes) = 0;
    virtual void resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code) = 0;
    virtual void stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code) = 0;
};

}
