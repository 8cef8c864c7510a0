#include <jujubequay/daemon/metrics_http_server.h>

#include <fmt/format.h>

namespace Jujubequay {

namespace {

constexpr Http1ServerOptions options{
    .maxBodyBytes = 0,
    .maxHeaderBytes = 8U << 10U,
    .maxConnections = 16,
    .idleTimeout = std::chrono::seconds(10),
    .allowsKeepAlive = false,
};
constexpr std::uint32_t loopbackNetwork = 127;

Http1Response answerTo(const Http1Request &request, const Metrics &metrics)
{
    Http1Response response;
    response.contentType = "text/plain";
    if (request.method != "GET") {
        response.status = 405;
    } else if (request.target != "/metrics" && !request.target.starts_with("/metrics?")) {
        response.status = 404;
    } else {
        response.contentType = "text/plain; version=0.0.4";
        response.body = prometheusText(metrics.snapshot());
    }
    return response;
}

}

Result<std::shared_ptr<Http1Server>> listenForMetrics(asio::io_context &context,
                                                      Logger &logger,
                                                      const HostAddress &address,
                                                      std::shared_ptr<const Metrics> metrics)
{
    if (address.ip >> 24U != loopbackNetwork) {
        return fail(ResultCode::AddressUnavailable, fmt::format("{}: metrics are served on loopback addresses only", toString(address)));
    }
    const auto handler = [metrics = std::move(metrics)](const Http1Request &request, const Http1Server::Respond &respond) {
        respond(answerTo(request, *metrics));
    };
    return Http1Server::listen(context, logger, address, handler, options);
}

}
