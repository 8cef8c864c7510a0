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

constexpr std::string_view clientMagic = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Takes numbers from the input; zero after its end.
class Source
{
public:
    explicit Source(std::span<const std::uint8_t> bytes)
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
        std::vector<std::uint8_t> taken(count);
        std::generate(taken.begin(), taken.end(), [this] {
            return byte();
        });
        return taken;
    }

private:
    std::span<const std::uint8_t> m_bytes;
};

/// A transport in memory. The peer's bytes are read from `incoming`; writes succeed and are dropped.
struct MemoryState {
    std::vector<std::uint8_t> incoming;
    asio::mutable_buffer buffer;
    ByteTransport::Handler reader;
    bool isClosed = false;
};

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
        m_state->reader = std::move(handler);
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

    static void deliver(asio::io_context &context, const std::shared_ptr<MemoryState> &state)
    {
        if (!state->reader || (state->incoming.empty() && !state->isClosed)) {
            return;
        }
        const auto handler = std::move(state->reader);
        state->reader = nullptr;
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

/// What the application has seen of a stream.
struct Accepted {
    std::shared_ptr<Http2Stream> stream;
    std::size_t unconsumed = 0;
    bool hasResponded = false;
    int closedCalls = 0;
};

/// A server session whose peer and application act as the input says.
class Run
{
public:
    explicit Run(std::span<const std::uint8_t> input)
        : m_source(input)
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
        const std::vector<std::uint8_t> magic(clientMagic.begin(), clientMagic.end());
        feed(magic);
        feedFrame(4, 0, 0, {});
    }

    void finish()
    {
        while (!m_source.isEmpty()) {
            step();
            m_context.restart();
            m_context.poll();
        }
        m_session->abort(ResultCode::ConnectionLost);
        m_context.restart();
        m_context.poll();
        checkInvariant(m_closedCalls == 1, "a session closes once");
        for (const auto &accepted : m_accepted) {
            checkInvariant(accepted->closedCalls == 1, "each accepted stream closes once");
            checkInvariant(accepted->stream->isClosed() && accepted->stream->queuedBytes() == 0, "a closed stream keeps no bytes");
        }
    }

private:
    Http2StreamHandlers accept(const std::shared_ptr<Http2Stream> &stream)
    {
        if (m_source.byte() % 8 == 0) {
            return {};
        }
        auto accepted = std::make_shared<Accepted>();
        accepted->stream = stream;
        m_accepted.push_back(accepted);
        Http2StreamHandlers handlers;
        handlers.data = [accepted](std::span<const std::uint8_t> data) {
            checkInvariant(accepted->closedCalls == 0, "no data after closed");
            accepted->unconsumed += data.size();
            checkInvariant(accepted->unconsumed <= 65535, "data stays within the window");
        };
        handlers.end = [accepted](const HttpHeaders &) {
            checkInvariant(accepted->closedCalls == 0, "no end after closed");
        };
        handlers.closed = [accepted](const Http2StreamEnd &) {
            ++accepted->closedCalls;
        };
        return handlers;
    }

    void feed(std::span<const std::uint8_t> bytes)
    {
        m_memory->incoming.insert(m_memory->incoming.end(), bytes.begin(), bytes.end());
        MemoryTransport::deliver(m_context, m_memory);
    }

    void feedFrame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, const std::vector<std::uint8_t> &payload)
    {
        const auto length = static_cast<std::uint32_t>(payload.size());
        const auto part = [](std::uint32_t value, unsigned shift) {
            return static_cast<std::uint8_t>(value >> shift);
        };
        feed(std::vector<std::uint8_t>{
            part(length, 16), part(length, 8), part(length, 0), type, flags, part(stream, 24), part(stream, 16), part(stream, 8), part(stream, 0)});
        feed(payload);
    }

    std::uint32_t anyStream()
    {
        return m_source.byte() % 32;
    }

    void step()
    {
        constexpr std::uint8_t peerActions = 8;
        const std::uint8_t action = m_source.byte() % 16;
        if (action < peerActions) {
            peerStep(action);
        } else {
            applicationStep(action);
        }
    }

    void peerStep(std::uint8_t action)
    {
        switch (action) {
        case 0: // GET / with END_HEADERS, and END_STREAM if the input says so
            feedFrame(1, 4U | (m_source.byte() & 1U), m_nextStream, {0x82, 0x86, 0x84, 0x41, 0x01, 'a'});
            m_nextStream += 2;
            break;
        case 1:
            feedFrame(0, m_source.byte() & 1U, anyStream(), std::vector<std::uint8_t>(m_source.byte() * 8U, 1));
            break;
        case 2:
            feedFrame(3, 0, anyStream(), m_source.bytes(4));
            break;
        case 3:
            feedFrame(8, 0, anyStream(), {0, 0, m_source.byte(), m_source.byte()});
            break;
        case 4:
            feedFrame(6, m_source.byte() & 1U, 0, m_source.bytes(8));
            break;
        case 5:
            feedFrame(4, 0, 0, {0, 4, 0, 0, m_source.byte(), m_source.byte()}); // SETTINGS_INITIAL_WINDOW_SIZE
            break;
        case 6:
            feedFrame(7, 0, 0, m_source.bytes(8));
            break;
        default:
            feedFrame(m_source.byte(), m_source.byte(), anyStream(), m_source.bytes(m_source.byte() % 32));
            break;
        }
    }

    void applicationStep(std::uint8_t action)
    {
        if (action == 15 && m_source.byte() % 16 == 0) {
            m_session->drain();
            return;
        }
        if (m_accepted.empty()) {
            return;
        }
        Accepted &accepted = *m_accepted[m_source.byte() % m_accepted.size()];
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
            accepted.stream->send(std::vector<std::uint8_t>(m_source.byte() * 8U, 2));
            break;
        case 12:
            accepted.stream->end(m_source.byte() % 2 == 0 ? HttpHeaders{} : HttpHeaders{{"count", "1"}});
            break;
        case 13:
            accepted.stream->reset(Http2Error::Cancel);
            break;
        default: {
            const std::size_t bytes = std::min<std::size_t>(accepted.unconsumed, m_source.byte() * 16U);
            accepted.unconsumed -= bytes;
            accepted.stream->consume(bytes);
            break;
        }
        }
    }

    Source m_source;
    SteadyClock m_clock;
    asio::io_context m_context;
    std::shared_ptr<MemoryState> m_memory;
    std::shared_ptr<Http2Session> m_session;
    std::vector<std::shared_ptr<Accepted>> m_accepted;
    std::uint32_t m_nextStream = 1;
    int m_closedCalls = 0;
};

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    Run(std::span(data, size)).finish();
    return 0;
}
