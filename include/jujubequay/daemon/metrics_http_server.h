#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/log.h>
#include <jujubequay/daemon/metrics.h>
#include <jujubequay/net/http1_server.h>

#include <asio/io_context.hpp>

#include <memory>

namespace Jujubequay {

/// Serves GET /metrics over HTTP/1.1 on a loopback address, one request for each connection. Fails with AddressUnavailable if the address
/// cannot be bound or is outside 127.0.0.0/8. Port 0 picks a free port.
Result<std::shared_ptr<Http1Server>> listenForMetrics(asio::io_context &context,
                                                      Logger &logger,
                                                      const HostAddress &address,
                                                      std::shared_ptr<const Metrics> metrics);

}
