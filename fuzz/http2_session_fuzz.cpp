// Drives an HTTP/2 server session with frames of a peer and calls of an application that the fuzzer chooses.

#include <jujubequay/core/invariant.h>
#include <jujubequay/net/http2_session.h>

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

using namespace Jujubequay;

namespace {

constexpr std::string_view clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Consumes the fuzzer's input byte by byte. Returns zeros after the end of the input.
class InputReader
{
public:
    explicit InputReader(std::span<const std::uint8_t> bytes)
        : m_bytes(bytes)
    {
    }

    bool isEmpty() const
    {
        return m_bytes.empty();
    }

    std::uint8_t byte()
    {
        if (m_bytes.empty()) {
            return 0;
        }
        const std::uint8_t value = m_bytes.front();
        m_bytes = m_bytes.subspan(1);
        return value;
    }

    std::vector<std::uint8_t> bytes(std::size_t count)
    {
        std::vector<std::uint8_t> result(count);
        std::generate(result.begin(), result.end(), [this] {
            return byte();
        });
        return result;
    }

private:
    std::span<const std::uint8_t> m_bytes;
};

/// State of a MemoryTransport, which outlives the transport.
struct MemoryState {
    std::vector<std::uint8_t> incoming; ///< bytes from the peer that the session has not read yet
    asio::mutable_buffer buffer; ///< destination of the pending read
    ByteTransport::Handler readHandler; ///< handler of the pending read; empty if there is none
    bool isClosed = false;
};

/// In-memory transport. Reads return the bytes in MemoryState::incoming; writes succeed and are dropped.
class MemoryTransport final : public ByteTransport
{
public:
    MemoryTransport(asio::io_context &context, std::shared_ptr<MemoryState> state)
        : m_context(context)
        , m_state(std::move(state))
    {
    }

    void readSome(asio::mutable_buffer buffer, Handler handler) override
    {
        m_state->buffer = buffer;
        m_state->readHandler = std::move(handler);
        deliver(m_context, m_state);
    }

    void write(asio::const_buffer buffer, Handler handler) override
    {
        asio::post(m_context, [handler = std::move(handler), size = buffer.size()] {
            handler({}, size);
        });
    }

    void shutdownSend() override { }

    void close() override
    {
        m_state->isClosed = true;
        deliver(m_context, m_state);
    }

    /// Completes the pending read if there are incoming bytes or the transport is closed.
    static void deliver(asio::io_context &context, const std::shared_ptr<MemoryState> &state)
    {
        if (!state->readHandler || (state->incoming.empty() && !state->isClosed)) {
            return;
        }
        const auto handler = std::move(state->readHandler);
        state->readHandler = nullptr;
        if (state->isClosed) {
            asio::post(context, [handler] {
                handler(asio::error::operation_aborted, 0);
            });
            return;
        }
        const std::size_t length = std::min(state->buffer.size(), state->incoming.size());
        std::copy_n(state->incoming.begin(), length, static_cast<std::uint8_t *>(state->buffer.data()));
        state->incoming.erase(state->incoming.begin(), state->incoming.begin() + static_cast<std::ptrdiff_t>(length));
        asio::post(context, [handler, length] {
            handler({}, length);
        });
    }

private:
    asio::io_context &m_context;
    std::shared_ptr<MemoryState> m_state;
};

/// A stream that the application accepted, with the callbacks that it received.
struct AcceptedStream {
    std::shared_ptr<Http2Stream> stream;
    std::size_t unconsumed = 0; ///< received bytes for which consume() was not called yet
    bool hasResponded = false;
    int closedCalls = 0;
};

/// A server session. The input chooses the actions of the peer and of the application.
class SessionRun
{
public:
    explicit SessionRun(std::span<const std::uint8_t> input)
        : m_input(input)
        , m_memory(std::make_shared<MemoryState>())
    {
        Http2SessionHandlers handlers;
        handlers.accept = [this](const HttpHeaders &, const std::shared_ptr<Http2Stream> &stream) {
            return accept(stream);
        };
        handlers.closed = [this](ResultCode) {
            ++m_closedCalls;
        };
        const Http2Options options{.streamWindowBytes = 4096, .connectionWindowBytes = 70000, .maxQueuedBytes = 2048, .maxHeaderBytes = 256, .maxStreams = 8};
        m_session = Http2Session::create(m_context, m_clock, Http2Session::Role::Server, options, std::move(handlers));
        m_session->start(std::make_unique<MemoryTransport>(m_context, m_memory));
        const std::vector<std::uint8_t> preface(clientPreface.begin(), clientPreface.end());
        receiveBytes(preface);
        receiveFrame(4, 0, 0, {}); // SETTINGS
    }

    void run()
    {
        while (!m_input.isEmpty()) {
            runStep();
            m_context.restart();
            m_context.poll();
        }
        m_session->abort(ResultCode::ConnectionLost);
        m_context.restart();
        m_context.poll();
        checkInvariant(m_closedCalls == 1, "a session calls its closed handler exactly once");
        for (const auto &accepted : m_accepted) {
            checkInvariant(accepted->closedCalls == 1, "an accepted stream calls its closed handler exactly once");
            checkInvariant(accepted->stream->isClosed() && accepted->stream->queuedBytes() == 0, "a closed stream has no queued bytes");
        }
    }

private:
    Http2StreamHandlers accept(const std::shared_ptr<Http2Stream> &stream)
    {
        if (m_input.byte() % 8 == 0) {
            return {};
        }
        auto accepted = std::make_shared<AcceptedStream>();
        accepted->stream = stream;
        m_accepted.push_back(accepted);
        Http2StreamHandlers handlers;
        handlers.data = [accepted](std::span<const std::uint8_t> data) {
            checkInvariant(accepted->closedCalls == 0, "no data arrives after the closed handler was called");
            accepted->unconsumed += data.size();
            checkInvariant(accepted->unconsumed <= 65535, "unconsumed data does not exceed the flow control window");
        };
        handlers.end = [accepted](const HttpHeaders &) {
            checkInvariant(accepted->closedCalls == 0, "no end of the request arrives after the closed handler was called");
        };
        handlers.closed = [accepted](const Http2StreamEnd &) {
            ++accepted->closedCalls;
        };
        return handlers;
    }

    void receiveBytes(std::span<const std::uint8_t> bytes)
    {
        m_memory->incoming.insert(m_memory->incoming.end(), bytes.begin(), bytes.end());
        MemoryTransport::deliver(m_context, m_memory);
    }

    void receiveFrame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, const std::vector<std::uint8_t> &payload)
    {
        const auto length = static_cast<std::uint32_t>(payload.size());
        const auto part = [](std::uint32_t value, unsigned shift) {
            return static_cast<std::uint8_t>(value >> shift);
        };
        receiveBytes(std::vector<std::uint8_t>{
            part(length, 16), part(length, 8), part(length, 0), type, flags, part(stream, 24), part(stream, 16), part(stream, 8), part(stream, 0)});
        receiveBytes(payload);
    }

    std::uint32_t anyStreamId()
    {
        return m_input.byte() % 32;
    }

    void runStep()
    {
        constexpr std::uint8_t peerActions = 8;
        const std::uint8_t action = m_input.byte() % 16;
        if (action < peerActions) {
            runPeerStep(action);
        } else {
            runApplicationStep(action);
        }
    }

    void runPeerStep(std::uint8_t action)
    {
        switch (action) {
        case 0: // HEADERS of "GET /" with END_HEADERS and, depending on the input, END_STREAM
            receiveFrame(1, 4U | (m_input.byte() & 1U), m_nextStreamId, {0x82, 0x86, 0x84, 0x41, 0x01, 'a'});
            m_nextStreamId += 2;
            break;
        case 1: // DATA
            receiveFrame(0, m_input.byte() & 1U, anyStreamId(), std::vector<std::uint8_t>(m_input.byte() * 8U, 1));
            break;
        case 2: // RST_STREAM
            receiveFrame(3, 0, anyStreamId(), m_input.bytes(4));
            break;
        case 3: // WINDOW_UPDATE
            receiveFrame(8, 0, anyStreamId(), {0, 0, m_input.byte(), m_input.byte()});
            break;
        case 4: // PING
            receiveFrame(6, m_input.byte() & 1U, 0, m_input.bytes(8));
            break;
        case 5: // SETTINGS
            receiveFrame(4, 0, 0, {0, 4, 0, 0, m_input.byte(), m_input.byte()}); // SETTINGS_INITIAL_WINDOW_SIZE
            break;
        case 6: // GOAWAY
            receiveFrame(7, 0, 0, m_input.bytes(8));
            break;
        default: // arbitrary frame
            receiveFrame(m_input.byte(), m_input.byte(), anyStreamId(), m_input.bytes(m_input.byte() % 32));
            break;
        }
    }

    void runApplicationStep(std::uint8_t action)
    {
        if (action == 15 && m_input.byte() % 16 == 0) {
            m_session->drain();
            return;
        }
        if (m_accepted.empty()) {
            return;
        }
        AcceptedStream &accepted = *m_accepted[m_input.byte() % m_accepted.size()];
        switch (action) {
        case 8:
        case 9:
            if (!accepted.hasResponded) {
                accepted.hasResponded = true;
                accepted.stream->respond({{":status", "200"}});
            }
            break;
        case 10:
        case 11:
            accepted.stream->send(std::vector<std::uint8_t>(m_input.byte() * 8U, 2));
            break;
        case 12:
            accepted.stream->end(m_input.byte() % 2 == 0 ? HttpHeaders{} : HttpHeaders{{"count", "1"}});
            break;
        case 13:
            accepted.stream->reset(Http2Error::Cancel);
            break;
        default: {
            const std::size_t bytes = std::min<std::size_t>(accepted.unconsumed, m_input.byte() * 16U);
            accepted.unconsumed -= bytes;
            accepted.stream->consume(bytes);
            break;
        }
        }
    }

    InputReader m_input;
    SteadyClock m_clock;
    asio::io_context m_context;
    std::shared_ptr<MemoryState> m_memory;
    std::shared_ptr<Http2Session> m_session;
    std::vector<std::shared_ptr<AcceptedStream>> m_accepted;
    std::uint32_t m_nextStreamId = 1;
    int m_closedCalls = 0;
};

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    SessionRun(std::span(data, size)).run();
    return 0;
}
