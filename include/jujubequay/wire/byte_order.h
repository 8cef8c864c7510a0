#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>

namespace Jujubequay {

/// Writes an unsigned integer in network byte order and returns a pointer to the byte after it.
template<class Integer>
std::uint8_t *writeBigEndian(std::uint8_t *out, Integer value)
{
    for (std::size_t byte = sizeof(Integer); byte > 0; --byte) {
        *out = static_cast<std::uint8_t>(value >> ((byte - 1) * 8));
        ++out;
    }
    return out;
}

/// Reads an unsigned integer in network byte order and advances `in` past it.
template<class Integer>
Integer readBigEndian(const std::uint8_t *&in)
{
    Integer value = 0;
    for (std::size_t byte = 0; byte < sizeof(Integer); ++byte) {
        value = static_cast<Integer>((value << 8U) | *in);
        ++in;
    }
    return value;
}

}
