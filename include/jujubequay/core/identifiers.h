#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubequay {

/// Number of a service. Assigned by the replicated control state and never reused.
struct ServiceId {
    std::uint16_t value = 0;
    auto operator<=>(
        const ServiceId &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 mistakes the zero of a rewritten comparison for a pointer
};

/// Identifies one run of an agent or backend server; a restarted process has another incarnation. Zero matches any incarnation.
struct Incarnation {
    std::uint32_t value = 0;
    auto operator<=>(
        const Incarnation &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 mistakes the zero of a rewritten comparison for a pointer
};

/// An IPv4 address and UDP or TCP port, both in host byte order.
struct HostAddress {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(
        const HostAddress &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 mistakes the zero of a rewritten comparison for a pointer
};

/// Formats as "127.0.0.1:4433".
std::string toString(const HostAddress &address);

/// Formats the IP address without the port, as "127.0.0.1".
std::string ipText(const HostAddress &address);

/// Parses text such as "127.0.0.1:4433"; empty if the text is malformed.
std::optional<HostAddress> parseHostAddress(std::string_view text);

/// Identifies one request. Chosen by the caller and the same for every attempt.
struct RequestId {
    std::array<std::uint8_t, 16> caller{};
    std::uint64_t sequence = 0;
    auto operator<=>(
        const RequestId &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 mistakes the zero of a rewritten comparison for a pointer
};

std::string toString(const RequestId &id);

/// Scheduling class of a request.
enum class WorkClass : std::uint8_t {
    Critical, ///< findings, bids and their amendments
    Interactive, ///< short reads
    Bulk, ///< downloads of certificates and dossiers
    Feed, ///< streams that stay open for hours; a feed counts as a connection and occupies no slot
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
