#pragma once

#include <jujubequay/core/identifiers.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Jujubequay {

enum class ServerProcess : std::uint8_t {
    Running, ///< accepts connections
    Ended, ///< refuses connections
    Unknown, ///< did not respond within the time limit
};

/// Checks whether the process of the local server runs, by a TCP connection. There is at most one check at a time.
class ServerProbe
{
public:
    using Handler = std::function<void(ServerProcess)>;

    ServerProbe(asio::io_context &context, const HostAddress &server);
    ~ServerProbe();
    ServerProbe(const ServerProbe &) = delete;
    ServerProbe &operator=(const ServerProbe &) = delete;

    /// Starts a check and cancels an earlier one.
    void start(Handler handler);
    /// The result of a check that was started before this call is not reported.
    void cancel();

private:
    struct Attempt;

    void finish(const std::shared_ptr<Attempt> &attempt, ServerProcess result);

    asio::io_context &m_context;
    const HostAddress m_server;
    std::shared_ptr<Attempt> m_attempt;
};

}
