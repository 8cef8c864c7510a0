#include "jujubequay/net/endpoint.h"
#include "jujubequay/net/socket_transport.h"

#include <jujubequay/core/invariant.h>
#include <jujubequay/core/name_table.h>
#include <jujubequay/net/backend_client.h>

#include <charconv>

namespace Jujubequay {

namespace {

constexpr NameTable<BackendOutcome, 3> outcomeNames{{{
    {BackendOutcome::Completed, "completed"},
    {BackendOutcome::NotStarted, "not-started"},
    {BackendOutcome::MayHaveRun, "may-have-run"},
}}};

int statusOf(const HttpHeaders &headers)
{
    const std::string_view text = headerValue(headers, ":status");
    int status = 0;
    std::from_chars(text.data(), text.data() + text.size(), status);
    return status;
}

BackendCallEnd endOf(const Http2StreamEnd &end, bool isResponseComplete)
{
    // RFC 9113, 8.1: a server may complete its response and then reset the stream with NO_ERROR to stop the rest of the request body.
    if (end.isComplete || (isResponseComplete && end.cause == ResultCode::Cancelled && end.error == Http2Error::NoError)) {
        return {BackendOutcome::Completed, ResultCode::Ok};
    }
    return {end.isNotStarted ? BackendOutcome::NotStarted : BackendOutcome::MayHaveRun, end.cause};
}

}

struct BackendClient::Connection {
    explicit Connection(asio::io_context &context)
        : socket(std::make_shared<asio::ip::tcp::socket>(context))
        , timer(context)
    {
    }

    std::shared_ptr<asio::ip::tcp::socket> socket;
    asio::steady_timer timer;
};

std::string_view backendOutcomeName(BackendOutcome outcome)
{
    return outcomeNames.name(outcome);
}

bool BackendCall::send(std::span<const std::uint8_t> data)
{
    return m_stream->send(data);
}

void BackendCall::end()
{
    m_stream->end();
}

void BackendCall::cancel()
{
    m_stream->reset(Http2Error::Cancel);
}

void BackendCall::consume(std::size_t bytes)
{
    m_stream->consume(bytes);
}

std::size_t BackendCall::queuedBytes() const
{
    return m_stream->queuedBytes();
}

std::shared_ptr<BackendClient> BackendClient::create(asio::io_context &context, const Clock &clock, const HostAddress &address, BackendClientOptions options)
{
    return std::shared_ptr<BackendClient>(new BackendClient(context, clock, address, options));
}

BackendClient::BackendClient(asio::io_context &context, const Clock &clock, const HostAddress &address, BackendClientOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_address(address)
    , m_options(options)
{
}

BackendClient::~BackendClient()
{
    stop();
}

void BackendClient::setDrainingHandler(std::function<void()> handler)
{
    m_drainingHandler = std::move(handler);
}

void BackendClient::stop()
{
    for (const auto &session : m_sessions) {
        session->abort(ResultCode::ConnectionLost);
    }
}

std::shared_ptr<BackendCall> BackendClient::start(const std::string &method, const std::string &path, const HttpHeaders &headers, BackendCallHandlers handlers)
{
    HttpHeaders fields{{":method", method}, {":scheme", "http"}, {":authority", toString(m_address)}, {":path", path}};
    fields.insert(fields.end(), headers.begin(), headers.end());
    auto isResponseComplete = std::make_shared<bool>(false);
    Http2StreamHandlers http2;
    http2.headers = [handler = std::move(handlers.headers)](const HttpHeaders &received) {
        if (handler) {
            handler(statusOf(received), received);
        }
    };
    http2.data = std::move(handlers.data);
    http2.writable = std::move(handlers.writable);
    http2.end = [isResponseComplete](const HttpHeaders &) {
        *isResponseComplete = true;
    };
    http2.closed = [isResponseComplete, handler = std::move(handlers.closed)](const Http2StreamEnd &end) {
        if (handler) {
            handler(endOf(end, *isResponseComplete));
        }
    };
    auto call = std::make_shared<BackendCall>();
    call->m_stream = session()->request(fields, std::move(http2));
    checkInvariant(call->m_stream != nullptr, "a session that accepts requests opens a stream");
    return call;
}

std::shared_ptr<Http2Session> BackendClient::session()
{
    if (!m_currentSession || !m_currentSession->acceptsRequests()) {
        m_currentSession = connect();
    }
    return m_currentSession;
}

std::shared_ptr<Http2Session> BackendClient::connect()
{
    auto connection = std::make_shared<Connection>(m_context);
    auto weakSession = std::make_shared<std::weak_ptr<Http2Session>>();
    Http2SessionHandlers handlers;
    handlers.draining = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_drainingHandler) {
            self->m_drainingHandler();
        }
    };
    handlers.closed = [weak = weak_from_this(), connection, weakSession](ResultCode) {
        asio::error_code ignored;
        connection->timer.cancel();
        connection->socket->close(ignored);
        if (const auto self = weak.lock()) {
            self->m_sessions.erase(weakSession->lock());
        }
    };
    auto session = Http2Session::create(m_context, m_clock, Http2Session::Role::Client, m_options.http2, std::move(handlers));
    *weakSession = session;
    m_sessions.insert(session);
    connection->timer.expires_after(m_options.connectTimeout);
    connection->timer.async_wait([session](const asio::error_code &error) {
        if (!error) {
            session->abort(ResultCode::Timeout);
        }
    });
    connection->socket->async_connect(tcpEndpoint(m_address), [connection, session](const asio::error_code &error) {
        connection->timer.cancel();
        if (error) {
            session->abort(ResultCode::ConnectionLost);
            return;
        }
        asio::error_code ignored;
        connection->socket->set_option(asio::ip::tcp::no_delay(true), ignored);
        session->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(connection->socket));
    });
    return session;
}

}
