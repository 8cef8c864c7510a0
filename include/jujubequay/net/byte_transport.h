#pragma once

#include <asio/buffer.hpp>
#include <asio/error_code.hpp>

#include <functional>

namespace Jujubequay {

/// A connected byte stream, plain TCP or TLS, as an Http2Session uses it. Handlers are called by the io_context, never
/// from within the call that starts the operation.
class ByteTransport
{
public:
    using Handler = std::function<void(const asio::error_code &error, std::size_t bytes)>;

    virtual ~ByteTransport() = default;
    /// Reads at least one byte. One read may be outstanding.
    virtual void readSome(asio::mutable_buffer buffer, Handler handler) = 0;
    /// Writes the whole buffer, which stays valid until the handler is called. One write may be outstanding.
    virtual void write(asio::const_buffer buffer, Handler handler) = 0;
    /// Ends the own direction; the peer reads end of file after all that was written.
    virtual void shutdownSend() = 0;
    /// Closes the socket at once; outstanding operations end with an error.
    virtual void close() = 0;
};

}
