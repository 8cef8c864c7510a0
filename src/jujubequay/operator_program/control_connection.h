#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/log.h>
#include <jujubequay/daemon/operator_settings.h>
#include <jujubequay/net/http2_message_client.h>

#include <control.pb.h>

#include <asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>

namespace Jujubequay {

/// Sends requests to the control hosts and waits for the answers.
class ControlConnection
{
public:
    /// Fails with BadKeyFile.
    static Result<std::unique_ptr<ControlConnection>> create(const OperatorSettings &settings);

    /// Sends a request and returns the answer. Fails with Timeout, NotAuthorized or OutcomeUnknown.
    Result<jujubequay::pb::OperatorDown> sendRequest(const jujubequay::pb::OperatorUp &message);
    Result<jujubequay::pb::StatusAnswer> status(const jujubequay::pb::StatusRequest &request);

    /// Returns a new operation identity. It ends with the number of operations that the control hosts have applied, so that the same command
    /// can be sent again later with this identity alone. Fails like `status`, and with NoQuorum.
    Result<std::string> newOperationId();

private:
    ControlConnection(const OperatorSettings &settings, std::shared_ptr<TlsContext> tls);

    const OperatorSettings &m_settings;
    SteadyClock m_clock;
    Logger m_logger;
    std::mt19937_64 m_random;
    asio::io_context m_context;
    std::shared_ptr<Http2MessageClient> m_client;
};

/// Returns the number of applied operations at the end of an operation identity. Fails with BadCommandLine.
Result<std::uint64_t> parseOperationsSeen(const std::string &operationId);

}
