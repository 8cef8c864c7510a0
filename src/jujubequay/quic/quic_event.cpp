#include <jujubequay/core/name_table.h>
#include <jujubequay/quic/quic_event.h>

namespace Jujubequay {

namespace {

constexpr NameTable<FlowEnd, 7> flowEndNames{{{
    {FlowEnd::ClosedByPeer, "closed-by-peer"},
    {FlowEnd::ClosedLocally, "closed-locally"},
    {FlowEnd::IdleTimeout, "idle-timeout"},
    {FlowEnd::HandshakeFailed, "handshake-failed"},
    {FlowEnd::StatelessReset, "stateless-reset"},
    {FlowEnd::ProtocolError, "protocol-error"},
    {FlowEnd::MemoryLimit, "memory-limit"},
}}};

}

std::string_view flowEndName(FlowEnd end)
{
    return flowEndNames.name(end);
}

}
