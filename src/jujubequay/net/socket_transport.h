#pragma once

#include <jujubequay/net/byte_transport.h>

#include <asio/ip/tcp.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/write.hpp>

#include <memory>
#include <utility>

namespace Jujubequay {

using TlsStream = asio::ssl::stream<asio::ip::tcp::socket>;

/// ByteTransport over a TCP socket or a TLS stream. Pending operations keep the stream alive.
template<class Stream>
class SocketTransport final : public ByteTransport
{
public:
    explicit SocketTransport(std::shared_ptr<Stream> stream)
        : m_stream(std::move(stream))
    {
    }

    ~SocketTransport() override
    {
        closeSocket();
    }

    void readSome(asio::mutable_buffer buffer, Handler handler) override
    {
        m_stream->async_read_some(buffer, [stream = m_stream, handler = std::move(handler)](const asio::error_code &error, std::size_t bytes) {
            handler(error, bytes);
        });
    }

    void write(asio::const_buffer buffer, Handler handler) override
    {
        asio::async_write(*m_stream, buffer, [stream = m_stream, handler = std::move(handler)](const asio::error_code &error, std::size_t bytes) {
            handler(error, bytes);
        });
    }

    void shutdownSend() override
    {
        asio::error_code ignored;
        m_stream->lowest_layer().shutdown(asio::socket_base::shutdown_send, ignored);
    }

    void close() override
    {
        closeSocket();
    }

private:
    void closeSocket()
    {
        asio::error_code ignored;
        m_stream->lowest_layer().close(ignored);
    }

    std::shared_ptr<Stream> m_stream;
};

}
