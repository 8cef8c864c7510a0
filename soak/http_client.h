#pragma once

#include <platform/stub_messages.h>

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace Jujubequay::Soak {

/// Response to a request; `status` is 0 if the request failed or timed out.
struct HttpResponse {
    unsigned status = 0;
    std::string body;
    std::string location; ///< header field "Location" of a redirect
};

/// Sends a request on a new connection. The handler is called exactly once.
void sendHttpRequest(asio::io_context &context,
                     const HostAddress &address,
                     const Platform::HttpRequest &request,
                     std::chrono::milliseconds timeout,
                     std::function<void(const HttpResponse &)> handler);

}
