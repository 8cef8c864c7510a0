#pragma once

#include <platform/stub_messages.h>

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace Jujubequay::Soak {

struct HttpAnswer {
    unsigned status = 0; ///< 0 for no answer in time
    std::string body;
    std::string location; ///< of a redirection
};

/// Sends one call on a connection of its own. The handler is called once.
void sendCall(asio::io_context &context,
              const HostAddress &address,
              const Platform::HttpRequest &call,
              std::chrono::milliseconds timeout,
              std::function<void(const HttpAnswer &)> handler);

}
