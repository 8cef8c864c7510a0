// Feeds arbitrary bytes to the frame reader and to the decoder of relay headers.

#include <jujubequay/core/invariant.h>
#include <jujubequay/wire/framing.h>
#include <jujubequay/wire/relay_header.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

using namespace Jujubequay;

namespace {

constexpr std::size_t maxFrameLength = 4096;

FlowKeySet makeKeySet()
{
    FlowSecret secret;
    secret.fill(3);
    FlowKeySet keys;
    keys.set(4, secret);
    keys.activate(4);
    return keys;
}

std::vector<Bytes> readFrames(std::span<const std::uint8_t> input, std::size_t partLength)
{
    FrameReader reader(maxFrameLength);
    std::vector<Bytes> frames;
    while (!input.empty()) {
        const std::size_t length = std::min(partLength, input.size());
        reader.add(input.first(length));
        input = input.subspan(length);
        while (auto frame = reader.nextFrame()) {
            checkInvariant(frame->size() <= maxFrameLength, "a frame is no longer than the limit");
            frames.push_back(std::move(*frame));
        }
    }
    return frames;
}

void fuzzFrames(std::span<const std::uint8_t> input)
{
    if (input.empty()) {
        return;
    }
    const std::size_t partLength = 1 + input.front() % 64;
    const auto body = input.subspan(1);
    checkInvariant(readFrames(body, partLength) == readFrames(body, body.size() + 1), "frames do not depend on how the stream is split");
}

void fuzzRelayHeader(std::span<const std::uint8_t> input)
{
    static const FlowKeySet keys = makeKeySet();
    RelayError error{};
    decodeRelay(keys, input, error);
    if (input.size() < relayHeaderLength) {
        return;
    }
    // The authentication check rejects nearly all inputs. To reach the fields behind it, a header is made from the input and signed.
    const std::uint8_t *bytes = input.data();
    RelayHeader header;
    header.kind = static_cast<RelayKind>(1 + bytes[0] % 5);
    header.service.value = static_cast<std::uint16_t>(bytes[1] << 8U | bytes[2]);
    header.incarnation.value = bytes[3];
    header.revision = bytes[4];
    header.caller = {bytes[5], bytes[6]};
    header.load = {bytes[7], bytes[8], bytes[9]};
    const auto payload = input.subspan(relayHeaderLength);
    std::vector<std::uint8_t> datagram(relayHeaderLength);
    encodeRelayHeader(keys, header, payload, datagram);
    datagram.insert(datagram.end(), payload.begin(), payload.end());
    const auto relay = decodeRelay(keys, datagram, error);
    checkInvariant(relay && relay->header == header, "a decoded header equals the encoded one");
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const std::uint8_t> input(data, size);
    fuzzFrames(input);
    fuzzRelayHeader(input);
    return 0;
}
