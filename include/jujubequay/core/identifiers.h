#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubequay {

/// Number of a service, assigned by the control state and never reused.
struct ServiceId {
    std::uint16_t value = 0;
    auto operator<=>(const ServiceId &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a pointer
};

/// One start of an agent. Zero means "any".
struct Incarnation {
    std::uint32_t value = 0;
    auto operator<=>(
        const Incarnation &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a pointer
};

/// An IPv4 address and UDP or TCP port, both in host byte order.
struct HostAddress {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(
        const HostAddress &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a pointer
};

/// Formats as "127.0.0.1:4433".
std::string toString(const HostAddress &address);

/// The IP address alone: "127.0.0.1".
std::string ipText(const HostAddress &address);

/// Parses "127.0.0.1:4433"; empty for anything else.
std::optional<HostAddress> parseHostAddress(std::string_view text);

/// Identity of one request, chosen by the caller; the same for every attempt.
struct RequestId {
    std::array<std::uint8_t, 16> caller{};
    std::uint64_t sequence = 0;
    auto operator<=>(const RequestId &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a pointer
};

std::string toString(const RequestId &id);

/// How a request is scheduled.
enum class WorkClass : std::uint8_t {
    Critical, ///< findings, bids and their amendments
    Interactive, ///< short reads
    Bulk, ///< certificate and dossier downloads
    Feed, ///< streams open for hours; they hold a connection and no slot
};

std::string_view workClassName(WorkClass workClass);
std::optional<WorkClass> parseWorkClass(std::string_view name);

}

template<>
struct std::hash<Jujubequay::ServiceId> {
    std::size_t operator()(const Jujubequay::ServiceId &id) const noexcept
    {
        return id.value;
    }
};

template<>
struct std::hash<Jujubequay::HostAddress> {
    std::size_t operator()(const Jujubequay::HostAddress &address) const noexcept
    {
        return std::hash<std::uint64_t>()((std::uint64_t{address.ip} << 16U) | address.port);
    }
};

template<>
struct std::hash<Jujubequay::RequestId> {
    std::size_t operator()(const Jujubequay::RequestId &id) const noexcept;
};
