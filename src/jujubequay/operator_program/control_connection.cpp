#include "control_connection.h"

#include <jujubequay/control/operator_request.h>

#include <asio/steady_timer.hpp>

#include <charconv>
#include <optional>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(50);

/// Runs an OperatorRequest on the event loop until it has finished.
class OperatorRequestRunner
{
public:
    OperatorRequestRunner(asio::io_context &context, const Clock &clock, MessageClient &client, OperatorRequest request)
        : m_context(context)
        , m_clock(clock)
        , m_client(client)
        , m_request(std::move(request))
        , m_timer(context)
    {
    }

    FinishRequest run()
    {
        apply(m_request.start(m_clock.now()));
        scheduleTick();
        m_context.restart();
        while (!m_finished) {
            m_context.run_one();
        }
        m_timer.cancel();
        if (m_stream) {
            m_stream->close();
        }
        m_context.poll();
        return *m_finished;
    }

private:
    void scheduleTick()
    {
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const asio::error_code &error) {
            if (!error && !m_finished) {
                apply(m_request.tick(m_clock.now()));
                scheduleTick();
            }
        });
    }

    void apply(const OperatorRequestEffects &effects)
    {
        for (const OperatorRequestEffect &effect : effects) {
            if (const auto *sendRequest = std::get_if<SendOperatorRequest>(&effect)) {
                openStream(*sendRequest);
            } else {
                m_finished = std::get<FinishRequest>(effect);
            }
        }
    }

    void openStream(const SendOperatorRequest &effect)
    {
        if (m_stream) {
            m_stream->close();
        }
        MessageStreamHandlers handlers;
        handlers.message = [this, number = effect.stream](const Bytes &bytes) {
            pb::OperatorDown message;
            if (!m_finished && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
                apply(m_request.receive(m_clock.now(), number, message));
            }
        };
        handlers.closed = [this, number = effect.stream](ResultCode code) {
            if (!m_finished) {
                apply(m_request.streamClosed(m_clock.now(), number, code));
            }
        };
        m_stream = m_client.open(effect.address, "/operator", std::move(handlers));
        m_stream->send(effect.message);
    }

    asio::io_context &m_context;
    const Clock &m_clock;
    MessageClient &m_client;
    OperatorRequest m_request;
    asio::steady_timer m_timer;
    std::shared_ptr<MessageStream> m_stream;
    std::optional<FinishRequest> m_finished;
};

}

Result<std::unique_ptr<ControlConnection>> ControlConnection::create(const OperatorSettings &settings)
{
    BOOST_LEAF_AUTO(tls, TlsContext::load(settings.tls));
    return std::unique_ptr<ControlConnection>(new ControlConnection(settings, std::move(tls)));
}

ControlConnection::ControlConnection(const OperatorSettings &settings, std::shared_ptr<TlsContext> tls)
    : m_settings(settings)
    , m_logger(m_clock, {"jjq", settings.operatorName, ""}, {.level = LogLevel::Error})
    , m_random(std::random_device{}())
    , m_client(Http2MessageClient::create(m_context, m_clock, m_logger, std::move(tls)))
{
}

Result<pb::OperatorDown> ControlConnection::sendRequest(const pb::OperatorUp &message)
{
    OperatorRequestOptions options;
    options.timeout = m_settings.operationTimeout;
    for (const auto &host : m_settings.controlHosts) {
        options.controlHosts.push_back(host.address);
    }
    OperatorRequestRunner runner(m_context, m_clock, *m_client, OperatorRequest(std::move(options), message, m_random));
    const FinishRequest finish = runner.run();
    m_client->stop();
    m_context.poll();
    if (finish.result != ResultCode::Ok) {
        return fail(finish.result, finish.detail);
    }
    return finish.answer;
}

Result<pb::StatusAnswer> ControlConnection::status(const pb::StatusRequest &request)
{
    pb::OperatorUp message;
    *message.mutable_status() = request;
    BOOST_LEAF_AUTO(answer, sendRequest(message));
    return answer.status();
}

Result<std::string> ControlConnection::newOperationId()
{
    BOOST_LEAF_AUTO(answer, status({}));
    if (answer.result() != 0) {
        return fail(static_cast<ResultCode>(answer.result()), "no majority of control hosts answered; the command was not sent");
    }
    return fmt::format("{:016x}{:016x}-{}", m_random(), m_random(), answer.operations_seen());
}

Result<std::uint64_t> parseOperationsSeen(const std::string &operationId)
{
    const std::size_t dash = operationId.rfind('-');
    std::uint64_t number = 0;
    const char *end = operationId.data() + operationId.size();
    const char *start = dash == std::string::npos ? end : operationId.data() + dash + 1;
    const auto parsed = std::from_chars(start, end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return fail(ResultCode::BadCommandLine, fmt::format("--operation-id: \"{}\" does not end with \"-\" and a number", operationId));
    }
    return number;
}

}
