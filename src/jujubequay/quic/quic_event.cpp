#include <jujubequay/core/name_table.h>
#include <jujubequay/quic/quic_event.h>

namespace Jujubequay {

namespace {

constexpr NameTable<FlowEndCause, 7> flowEndCauseNames{{{
    {FlowEndCause::ClosedByPeer, "closed-by-peer"},
    {FlowEndCause::ClosedLocally, "closed-locally"},
    {FlowEndCause::IdleTimeout, "idle-timeout"},
    {FlowEndCause::HandshakeFailed, "handshake-failed"},
    {FlowEndCause::StatelessReset, "stateless-reset"},
    {FlowEndCause::ProtocolError, "protocol-error"},
    {FlowEndCause::MemoryLimit, "memory-limit"},
}}};

}

std::string_view flowEndCauseName(FlowEndCause cause)
{
    return flowEndCauseNames.name(cause);
}

}
