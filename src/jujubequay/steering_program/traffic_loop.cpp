#include <jujubequay/steering_program/traffic_loop.h>

namespace Jujubequay {

TrafficLoop::TrafficLoop()
    : m_work(asio::make_work_guard(m_context))
{
}

TrafficLoop::~TrafficLoop()
{
    stop();
}

asio::io_context &TrafficLoop::context()
{
    return m_context;
}

void TrafficLoop::start()
{
    m_thread = std::thread([this] {
        m_context.run();
    });
}

void TrafficLoop::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

}
