#include <jujubequay/core/name_table.h>
#include <jujubequay/steering/flow_ownership.h>

namespace Jujubequay {

namespace {

constexpr NameTable<OwnershipSource, 5> ownershipSourceNames{{{
    {OwnershipSource::None, "none"},
    {OwnershipSource::Placement, "placement"},
    {OwnershipSource::OwnerNotice, "owner-notice"},
    {OwnershipSource::LocalServer, "local-server"},
    {OwnershipSource::FlowRecord, "flow-record"},
}}};

constexpr NameTable<ServerEndCause, 2> serverEndCauseNames{{{
    {ServerEndCause::Deregistered, "deregistered"},
    {ServerEndCause::Replaced, "replaced"},
}}};

}

std::string_view ownershipSourceName(OwnershipSource source)
{
    return ownershipSourceNames.name(source);
}

std::string_view serverEndCauseName(ServerEndCause cause)
{
    return serverEndCauseNames.name(cause);
}

}
