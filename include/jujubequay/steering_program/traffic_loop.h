#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <thread>
#include <utility>

namespace Jujubequay {

/// The thread that handles traffic. What runs on it is posted; everything else of the process stays on the control thread.
class TrafficLoop
{
public:
    TrafficLoop();
    ~TrafficLoop();
    TrafficLoop(const TrafficLoop &) = delete;
    TrafficLoop &operator=(const TrafficLoop &) = delete;

    asio::io_context &context();
    void start();
    /// Returns once the thread has ended; what was posted before may be dropped.
    void stop();

    template<class Function>
    void post(Function function)
    {
        asio::post(m_context, std::move(function));
    }

private:
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

}
