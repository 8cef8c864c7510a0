#pragma once

#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <memory>
#include <span>

namespace Jujubequay {

/// Largest number of datagrams that one system call reads or writes.
constexpr std::size_t datagramBatchSize = 64;
/// Longest datagram that is read, in bytes; longer ones are cut and dropped by their keyed check or their AEAD.
constexpr std::size_t maxDatagramLength = 2048;

/// Reads datagrams from a non-blocking socket, each with free space in front for a header. Allocates only when created.
///
///     const std::size_t count = reader.read(socket);
///     for (std::size_t index = 0; index < count; ++index) { handle(reader.source(index), reader.datagram(index)); }
class DatagramReader
{
public:
    /// `headroom`: free bytes in front of each datagram.
    explicit DatagramReader(std::size_t headroom);
    ~DatagramReader();

    /// Number of datagrams read, up to datagramBatchSize; zero when none waits.
    std::size_t read(int socket);

    HostAddress source(std::size_t index) const;
    std::span<std::uint8_t> datagram(std::size_t index);
    /// The free space followed by the datagram.
    std::span<std::uint8_t> withHeadroom(std::size_t index);

private:
    struct Buffers;

    std::size_t m_headroom;
    std::unique_ptr<Buffers> m_buffers;
};

/// Collects datagrams and writes them with few system calls. Allocates only when created.
class DatagramWriter
{
public:
    DatagramWriter();
    ~DatagramWriter();

    /// Queues a datagram; `bytes` stay valid until `flush`. At most datagramBatchSize wait.
    void add(const HostAddress &destination, std::span<const std::uint8_t> bytes);
    bool isFull() const;
    /// Sends what is queued. Returns the number of datagrams that the socket did not take: datagrams may be lost, so
    /// they are not kept.
    std::size_t flush(int socket);

private:
    struct Buffers;

    std::unique_ptr<Buffers> m_buffers;
    std::size_t m_count = 0;
};

}
