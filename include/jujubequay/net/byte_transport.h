#pragma once

#include <asio/buffer.hpp>
#include <asio/error_code.hpp>

#include <functional>

namespace Jujubequay {

/// Connected byte stream over TCP or TLS that carries an Http2Session. Handlers run on the io_context, never from within the call that starts
/// the operation.
class ByteTransport
{
public:
    using Handler = std::function<void(const asio::error_code &error, std::size_t bytes)>;

    virtual ~ByteTransport() = default;
    /// Reads at least one byte. At most one read may be pending.
    virtual void readSome(asio::mutable_buffer buffer, Handler handler) = 0;
    /// Writes the whole buffer, which must stay valid until the handler is called. At most one write may be pending.
    virtual void write(asio::const_buffer buffer, Handler handler) = 0;
    /// Shuts down the sending direction. The peer reads end of file after all written bytes.
    virtual void shutdownSend() = 0;
    /// Closes the socket immediately. Pending operations end with an error.
    virtual void close() = 0;
};

}
