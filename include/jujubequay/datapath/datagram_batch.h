#pragma once

#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <memory>
#include <span>

namespace Jujubequay {

/// Largest number of datagrams that one system call reads or writes.
constexpr std::size_t datagramBatchSize = 64;
/// Longest datagram that is read, in bytes. A longer one is truncated, fails the check of its authentication tag or its AEAD, and is dropped.
constexpr std::size_t maxDatagramLength = 2048;

/// Reads datagrams from a non-blocking socket, each with free space in front for a header. Allocates memory only in the constructor.
///
///     const std::size_t count = reader.read(socket);
///     for (std::size_t index = 0; index < count; ++index) { handle(reader.source(index), reader.datagram(index)); }
class DatagramReader
{
public:
    /// `headroom`: free bytes in front of each datagram.
    explicit DatagramReader(std::size_t headroom);
    ~DatagramReader();

    /// Reads the datagrams that the socket holds, up to datagramBatchSize. Returns their number; zero if there are none.
    std::size_t read(int socket);

    /// The sender of a datagram.
    HostAddress source(std::size_t index) const;
    std::span<std::uint8_t> datagram(std::size_t index);
    /// The free space followed by the datagram.
    std::span<std::uint8_t> withHeadroom(std::size_t index);

private:
    struct Buffers;

    std::size_t m_headroom;
    std::unique_ptr<Buffers> m_buffers;
};

/// Collects datagrams and writes them with few system calls. Allocates memory only in the constructor.
class DatagramWriter
{
public:
    DatagramWriter();
    ~DatagramWriter();

    /// Queues a datagram. `bytes` must stay valid until `flush`, and the writer must not be full.
    void add(const HostAddress &destination, std::span<const std::uint8_t> bytes);
    /// True if datagramBatchSize datagrams are queued.
    bool isFull() const;
    /// Sends the queued datagrams. Returns the number that the socket did not accept. These are discarded, because the protocols
    /// above tolerate lost datagrams.
    std::size_t flush(int socket);

private:
    struct Buffers;

    std::unique_ptr<Buffers> m_buffers;
    std::size_t m_count = 0;
};

}
