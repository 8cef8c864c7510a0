#include <jujubequay/steering/segment.h>

#include <xxhash.h>

#include <array>

namespace Jujubequay {

std::uint64_t hashOf(const FlowTuple &tuple)
{
    const std::array<std::uint64_t, 2> words{(std::uint64_t{tuple.caller.ip} << 16U) | tuple.caller.port,
                                             (std::uint64_t{tuple.service.ip} << 16U) | tuple.service.port};
    return XXH3_64bits(words.data(), sizeof(words));
}

FlowTuple flowTupleFromCaller(const Segment &segment)
{
    return {segment.source, segment.destination};
}

FlowTuple flowTupleFromServer(const Segment &segment)
{
    return {segment.destination, segment.source};
}

}
