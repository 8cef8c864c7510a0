#include <jujubequay/steering/segment.h>

#include <xxhash.h>

#include <array>

namespace Jujubequay {

namespace {

constexpr std::uint32_t maxSequenceDistance = 64U << 10U; ///< bytes

}

std::uint64_t hashOf(const FlowTuple &tuple)
{
    const std::array<std::uint64_t, 2> words{(std::uint64_t{tuple.caller.ip} << 16U) | tuple.caller.port,
                                             (std::uint64_t{tuple.service.ip} << 16U) | tuple.service.port};
    return XXH3_64bits(words.data(), sizeof(words));
}

bool isNear(std::uint32_t sequence, std::uint32_t reference)
{
    return sequence - reference + maxSequenceDistance <= 2 * maxSequenceDistance;
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
