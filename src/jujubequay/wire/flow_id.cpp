#include <jujubequay/core/invariant.h>
#include <jujubequay/wire/byte_order.h>
#include <jujubequay/wire/flow_id.h>

#include <sodium.h>

#include <algorithm>

namespace Jujubequay {

namespace {

// Byte 0: key number in the upper 3 bits. Bytes 1 to 4: authentication tag, from which the mask is derived. Bytes 5 to 19: masked fields.
constexpr std::size_t tagOffset = 1;
constexpr std::size_t tagLength = 4;
constexpr std::size_t fieldsOffset = tagOffset + tagLength;
constexpr std::size_t fieldsLength = flowIdLength - fieldsOffset;
constexpr unsigned keyNumberShift = 5;
constexpr std::uint32_t nonceMask = 0xFFFFFF;

static_assert(flowSecretLength == crypto_shorthash_KEYBYTES);

using Fields = std::array<std::uint8_t, fieldsLength>;
using HashOutput = std::array<std::uint8_t, crypto_shorthash_BYTES>;

template<std::size_t Length>
HashOutput keyedHash(const FlowSecret &secret, const std::array<std::uint8_t, Length> &input)
{
    HashOutput output;
    crypto_shorthash(output.data(), input.data(), input.size(), secret.data());
    return output;
}

HashOutput computeTag(const FlowSecret &secret, std::uint8_t first, const Fields &fields)
{
    std::array<std::uint8_t, fieldsLength + 2> input{'c', first};
    std::copy(fields.begin(), fields.end(), input.begin() + 2);
    return keyedHash(secret, input);
}

// The tag serves as a synthetic initialisation vector: equal fields with different nonces get unrelated masks.
void applyMask(const FlowSecret &secret, const std::uint8_t *tag, Fields &fields)
{
    std::array<std::uint8_t, tagLength + 2> input{'m', 0};
    std::copy_n(tag, tagLength, input.begin() + 2);
    for (std::size_t offset = 0; offset < fields.size(); offset += crypto_shorthash_BYTES) {
        ++input[1];
        const HashOutput mask = keyedHash(secret, input);
        const std::size_t count = std::min(mask.size(), fields.size() - offset);
        for (std::size_t byte = 0; byte < count; ++byte) {
            fields[offset + byte] ^= mask[byte];
        }
    }
}

}

void FlowKeySet::set(std::uint8_t number, const FlowSecret &secret)
{
    checkInvariant(number < flowKeyCount, "flow key numbers are 0 to 7");
    m_secrets[number] = secret;
}

void FlowKeySet::remove(std::uint8_t number)
{
    checkInvariant(number < flowKeyCount, "flow key numbers are 0 to 7");
    m_secrets[number].reset();
    if (m_activeNumber == number) {
        m_activeNumber.reset();
    }
}

void FlowKeySet::activate(std::uint8_t number)
{
    checkInvariant(find(number) != nullptr, "the active flow key is in the set");
    m_activeNumber = number;
}

const FlowSecret *FlowKeySet::find(std::uint8_t number) const
{
    return number < flowKeyCount && m_secrets[number] ? &*m_secrets[number] : nullptr;
}

std::optional<std::uint8_t> FlowKeySet::activeNumber() const
{
    return m_activeNumber;
}

FlowIdBytes encodeFlowId(const FlowKeySet &keys, std::uint8_t number, const FlowTarget &target, std::uint32_t nonce)
{
    const FlowSecret *secret = keys.find(number);
    checkInvariant(secret != nullptr, "flow identifiers are encoded under a key of the set");

    Fields fields;
    std::uint8_t *out = fields.data();
    out = writeBigEndian(out, target.service.value);
    out = writeBigEndian(out, target.server.ip);
    out = writeBigEndian(out, target.server.port);
    out = writeBigEndian(out, target.incarnation.value);
    const std::uint32_t shortNonce = nonce & nonceMask;
    out = writeBigEndian(out, static_cast<std::uint8_t>(shortNonce >> 16U));
    writeBigEndian(out, static_cast<std::uint16_t>(shortNonce));

    FlowIdBytes bytes;
    bytes[0] = static_cast<std::uint8_t>(number << keyNumberShift);
    const HashOutput tag = computeTag(*secret, bytes[0], fields);
    std::copy_n(tag.begin(), tagLength, bytes.begin() + tagOffset);
    applyMask(*secret, bytes.data() + tagOffset, fields);
    std::copy(fields.begin(), fields.end(), bytes.begin() + fieldsOffset);
    return bytes;
}

std::optional<FlowTarget> decodeFlowId(const FlowKeySet &keys, std::span<const std::uint8_t> bytes)
{
    if (bytes.size() != flowIdLength) {
        return std::nullopt;
    }
    const FlowSecret *secret = keys.find(bytes[0] >> keyNumberShift);
    if (secret == nullptr) {
        return std::nullopt;
    }
    Fields fields;
    std::copy_n(bytes.begin() + fieldsOffset, fieldsLength, fields.begin());
    applyMask(*secret, bytes.data() + tagOffset, fields);
    const HashOutput tag = computeTag(*secret, bytes[0], fields);
    if (sodium_memcmp(tag.data(), bytes.data() + tagOffset, tagLength) != 0) {
        return std::nullopt;
    }
    const std::uint8_t *in = fields.data();
    FlowTarget target;
    target.service.value = readBigEndian<std::uint16_t>(in);
    target.server.ip = readBigEndian<std::uint32_t>(in);
    target.server.port = readBigEndian<std::uint16_t>(in);
    target.incarnation.value = readBigEndian<std::uint32_t>(in);
    return target;
}

std::uint8_t flowIdKeyNumber(std::span<const std::uint8_t, flowIdLength> bytes)
{
    return bytes[0] >> keyNumberShift;
}

}
