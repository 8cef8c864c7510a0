#include <jujubequay/net/periodic_timer.h>

namespace Jujubequay {

PeriodicTimer::PeriodicTimer(asio::io_context &context, Duration interval, std::function<void()> function)
    : m_interval(interval)
    , m_function(std::move(function))
    , m_timer(context)
{
}

void PeriodicTimer::start()
{
    m_timer.expires_after(m_interval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            m_function();
            start();
        }
    });
}

void PeriodicTimer::stop()
{
    m_timer.cancel();
}

}
