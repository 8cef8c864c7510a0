#pragma once

#include <array>
#include <cstdint>
#include <span>

#include <sodium/crypto_generichash.h>

namespace Jujubequay {

using DigestBytes = std::array<std::uint8_t, 32>;

/// BLAKE2b-256 of a byte sequence that arrives in parts.
class Digest
{
public:
    Digest();

    void add(std::span<const std::uint8_t> bytes);
    /// Ends the computation; call once.
    DigestBytes finish();

private:
    crypto_generichash_state m_state;
};

DigestBytes digestOf(std::span<const std::uint8_t> bytes);

}
