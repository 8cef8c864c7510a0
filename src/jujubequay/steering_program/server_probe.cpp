#include <jujubequay/steering_program/server_probe.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace Jujubequay {

namespace {

/// A connection within one machine takes less. If the accept queue is full, the kernel repeats the attempt only after seconds.
constexpr auto timeLimit = std::chrono::milliseconds(100);

ServerProcess processOf(const asio::error_code &error)
{
    if (!error) {
        return ServerProcess::Running;
    }
    return error == asio::error::connection_refused ? ServerProcess::Ended : ServerProcess::Unknown;
}

}

struct ServerProbe::Attempt {
    Attempt(asio::io_context &context, Handler attemptHandler)
        : socket(context)
        , timer(context, timeLimit)
        , handler(std::move(attemptHandler))
    {
    }

    void close()
    {
        asio::error_code ignored;
        socket.close(ignored);
        timer.cancel();
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Handler handler;
};

ServerProbe::ServerProbe(asio::io_context &context, const HostAddress &server)
    : m_context(context)
    , m_server(server)
{
}

ServerProbe::~ServerProbe()
{
    cancel();
}

void ServerProbe::start(Handler handler)
{
    cancel();
    m_attempt = std::make_shared<Attempt>(m_context, std::move(handler));
    m_attempt->timer.async_wait([this, attempt = m_attempt](const asio::error_code &error) {
        if (!error) {
            finish(attempt, ServerProcess::Unknown);
        }
    });
    m_attempt->socket.async_connect({asio::ip::address_v4(m_server.ip), m_server.port}, [this, attempt = m_attempt](const asio::error_code &error) {
        finish(attempt, processOf(error));
    });
}

void ServerProbe::cancel()
{
    if (m_attempt) {
        m_attempt->close();
        m_attempt.reset();
    }
}

void ServerProbe::finish(const std::shared_ptr<Attempt> &attempt, ServerProcess result)
{
    if (attempt != m_attempt) {
        return;
    }
    cancel();
    attempt->handler(result);
}

}
