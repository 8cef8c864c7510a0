#pragma once

#include <jujubequay/core/kernel.h>
#include <jujubequay/core/log.h>
#include <jujubequay/daemon/common_settings.h>
#include <jujubequay/daemon/metrics.h>
#include <jujubequay/daemon/metrics_http_server.h>
#include <jujubequay/net/http2_message_client.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <random>
#include <string>

namespace Jujubequay {

/// Options of a process beyond its settings file.
struct ProcessOptions {
    std::size_t maxMetricsCustomers = 200; ///< customers with metrics of their own; further customers are counted together
    LogOutput logOutput = LogOutput::StandardError;
    std::uint32_t maxLogRepeats = Logger::Options().maxRepeats; ///< log lines of one event within 10 seconds
    std::string plaintextRole; ///< role that is sent to control hosts in a network without keys
};

/// Services of the control thread that balancers, agents and the control hosts of a network without keys share: clock, logger, metrics and the
/// client for streams to control hosts. They are registered with the kernel as "clock", "logger", "metrics" and "message-client".
class ProcessServices
{
public:
    /// `context` outlives the services.
    ProcessServices(asio::io_context &context, std::string program, CommonSettings settings, ProcessOptions options = {});
    ~ProcessServices();
    ProcessServices(const ProcessServices &) = delete;
    ProcessServices &operator=(const ProcessServices &) = delete;

    /// Loads the certificates if there are any, creates the client and serves metrics. Reloads the certificates at each SIGHUP. Fails with
    /// BadKeyFile or AddressUnavailable.
    Result<void> start();
    /// Closes the connections of the client. Does nothing before `start`.
    void closeClient();

    Kernel &kernel();
    Clock &clock() const;
    Logger &logger() const;
    Metrics &metrics() const;
    std::shared_ptr<const Metrics> sharedMetrics() const;
    std::shared_ptr<TlsContext> tls() const;
    Http2MessageClient &client() const;
    std::mt19937_64 &random();
    /// Addresses of the control hosts in the settings.
    std::vector<HostAddress> controlHosts() const;
    /// Sets a counter in the metrics to a value that another component counts.
    void setCounter(std::string_view name, std::string_view cause, std::uint64_t value);

private:
    void waitForReload();

    asio::io_context &m_context;
    const CommonSettings m_settings;
    const ProcessOptions m_options;
    Kernel m_kernel;
    std::mt19937_64 m_random;
    std::shared_ptr<Clock> m_clock;
    std::shared_ptr<Logger> m_logger;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<TlsContext> m_tls; ///< null in a network without keys
    std::shared_ptr<Http2MessageClient> m_client;
    std::shared_ptr<Http1Server> m_metricsServer;
    asio::signal_set m_reloadSignals;
};

}
