#include <jujubequay/core/invariant.h>
#include <jujubequay/datapath/datagram_batch.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <vector>

namespace Jujubequay {

namespace {

HostAddress fromNative(const sockaddr_in &address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

sockaddr_in toNative(const HostAddress &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(address.ip);
    native.sin_port = htons(address.port);
    return native;
}

/// The arrays that recvmmsg and sendmmsg use. The constructor links the messages to their parts and addresses.
struct MessageArrays {
    std::array<mmsghdr, datagramBatchSize> messages{};
    std::array<iovec, datagramBatchSize> parts{};
    std::array<sockaddr_in, datagramBatchSize> addresses{};

    MessageArrays()
    {
        for (std::size_t index = 0; index < datagramBatchSize; ++index) {
            messages[index].msg_hdr.msg_iov = &parts[index];
            messages[index].msg_hdr.msg_iovlen = 1;
            messages[index].msg_hdr.msg_name = &addresses[index];
        }
    }
    MessageArrays(const MessageArrays &) = delete;
    MessageArrays &operator=(const MessageArrays &) = delete;
};

}

struct DatagramReader::Buffers {
    MessageArrays arrays;
    std::vector<std::uint8_t> bytes;
};

struct DatagramWriter::Buffers {
    MessageArrays arrays;
};

DatagramReader::DatagramReader(std::size_t headroom)
    : m_headroom(headroom)
    , m_buffers(std::make_unique<Buffers>())
{
    const std::size_t stride = m_headroom + maxDatagramLength;
    m_buffers->bytes.resize(stride * datagramBatchSize);
    for (std::size_t index = 0; index < datagramBatchSize; ++index) {
        iovec &part = m_buffers->arrays.parts[index];
        part.iov_base = m_buffers->bytes.data() + index * stride + m_headroom;
        part.iov_len = maxDatagramLength;
    }
}

DatagramReader::~DatagramReader() = default;

std::size_t DatagramReader::read(int socket)
{
    for (mmsghdr &message : m_buffers->arrays.messages) {
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = recvmmsg(socket, m_buffers->arrays.messages.data(), datagramBatchSize, MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

HostAddress DatagramReader::source(std::size_t index) const
{
    return fromNative(m_buffers->arrays.addresses[index]);
}

std::span<std::uint8_t> DatagramReader::datagram(std::size_t index)
{
    return withHeadroom(index).subspan(m_headroom);
}

std::span<std::uint8_t> DatagramReader::withHeadroom(std::size_t index)
{
    const std::size_t stride = m_headroom + maxDatagramLength;
    return {m_buffers->bytes.data() + index * stride, m_headroom + m_buffers->arrays.messages[index].msg_len};
}

DatagramWriter::DatagramWriter()
    : m_buffers(std::make_unique<Buffers>())
{
    for (mmsghdr &message : m_buffers->arrays.messages) {
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

DatagramWriter::~DatagramWriter() = default;

void DatagramWriter::add(const HostAddress &destination, std::span<const std::uint8_t> bytes)
{
    checkInvariant(!isFull(), "a full datagram batch is flushed before more is added");
    m_buffers->arrays.addresses[m_count] = toNative(destination);
    iovec &part = m_buffers->arrays.parts[m_count];
    part.iov_base = const_cast<std::uint8_t *>(bytes.data());
    part.iov_len = bytes.size();
    ++m_count;
}

bool DatagramWriter::isFull() const
{
    return m_count == datagramBatchSize;
}

std::size_t DatagramWriter::flush(int socket)
{
    std::size_t nextIndex = 0;
    std::size_t unsent = 0;
    while (nextIndex < m_count) {
        const int sent = sendmmsg(socket, m_buffers->arrays.messages.data() + nextIndex, static_cast<unsigned>(m_count - nextIndex), MSG_DONTWAIT);
        if (sent > 0) {
            nextIndex += static_cast<std::size_t>(sent);
            continue;
        }
        const bool isSocketFull = errno == EAGAIN || errno == EWOULDBLOCK;
        if (isSocketFull) {
            unsent += m_count - nextIndex;
            break;
        }
        // An error such as an unreachable destination concerns only the first of the remaining datagrams.
        ++unsent;
        ++nextIndex;
    }
    m_count = 0;
    return unsent;
}

}
