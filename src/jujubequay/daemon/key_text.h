#pragma once

#include <jujubequay/core/error.h>

#include <fmt/format.h>
#include <sodium/utils.h>

#include <array>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace Jujubequay {

/// Formats a key file: one line with a label and the bytes in hexadecimal digits, for example "jujubequay-flow-secret 00ff...".
template<std::size_t Size>
std::string formatKeyText(std::string_view label, const std::array<std::uint8_t, Size> &bytes)
{
    std::array<char, Size * 2 + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), bytes.data(), bytes.size());
    std::string text = fmt::format("{} {}\n", label, digits.data());
    sodium_memzero(digits.data(), digits.size());
    return text;
}

/// Parses the format of formatKeyText. Fails with BadKeyFile; `path` appears in the error only.
template<std::size_t Size>
Result<std::array<std::uint8_t, Size>> parseKeyText(std::string_view label, std::string_view text, const std::filesystem::path &path)
{
    std::array<std::uint8_t, Size> bytes{};
    const std::string prefix = std::string(label) + " ";
    std::size_t length = 0;
    const char *end = nullptr;
    const bool hasLabel = text.starts_with(prefix) && text.ends_with('\n');
    const std::string_view digits = hasLabel ? text.substr(prefix.size(), text.size() - prefix.size() - 1) : std::string_view();
    const bool isHex = sodium_hex2bin(bytes.data(), bytes.size(), digits.data(), digits.size(), nullptr, &length, &end) == 0;
    if (!hasLabel || !isHex || length != Size || end != digits.data() + digits.size()) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: expected one line with \"{}\" and {} hexadecimal digits", path.string(), label, Size * 2));
    }
    return bytes;
}

}
