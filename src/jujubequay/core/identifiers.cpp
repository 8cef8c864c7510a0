#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/name_table.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <arpa/inet.h>

#include <charconv>

namespace Jujubequay {

namespace {

constexpr NameTable<WorkClass, 4> workClassNames{{{
    {WorkClass::Critical, "critical"},
    {WorkClass::Interactive, "interactive"},
    {WorkClass::Bulk, "bulk"},
    {WorkClass::Feed, "feed"},
}}};

}

std::string toString(const HostAddress &address)
{
    return fmt::format("{}.{}.{}.{}:{}", address.ip >> 24U, (address.ip >> 16U) & 255U, (address.ip >> 8U) & 255U, address.ip & 255U, address.port);
}

std::string ipText(const HostAddress &address)
{
    const std::string text = toString(address);
    return text.substr(0, text.find(':'));
}

std::optional<HostAddress> parseHostAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    HostAddress address;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), address.port);
    if (parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size()) {
        return std::nullopt;
    }
    in_addr ip{};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1) {
        return std::nullopt;
    }
    address.ip = ntohl(ip.s_addr);
    return address;
}

std::string toString(const RequestId &id)
{
    std::string text;
    for (const std::uint8_t byte : id.caller) {
        fmt::format_to(std::back_inserter(text), "{:02x}", byte);
    }
    fmt::format_to(std::back_inserter(text), "-{}", id.sequence);
    return text;
}

std::string_view workClassName(WorkClass workClass)
{
    return workClassNames.name(workClass);
}

std::optional<WorkClass> parseWorkClass(std::string_view name)
{
    return workClassNames.value(name);
}

}

std::size_t std::hash<Jujubequay::RequestId>::operator()(const Jujubequay::RequestId &id) const noexcept
{
    return XXH3_64bits_withSeed(id.caller.data(), id.caller.size(), id.sequence);
}
