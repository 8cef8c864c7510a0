#pragma once

#include <jujubequay/core/clock.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>

namespace Jujubequay {

/// Calls a function periodically. Each call starts one interval after the previous call has returned.
///
///     PeriodicTimer timer(context, std::chrono::seconds(1), [this] { expire(); });
///     timer.start();
class PeriodicTimer
{
public:
    PeriodicTimer(asio::io_context &context, Duration interval, std::function<void()> function);

    /// The first call happens after one interval.
    void start();
    void stop();

private:
    const Duration m_interval;
    const std::function<void()> m_function;
    asio::steady_timer m_timer;
};

}
