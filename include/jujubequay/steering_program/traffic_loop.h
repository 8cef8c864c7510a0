#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <thread>
#include <utility>

namespace Jujubequay {

/// Runs the traffic thread. Work for it is posted; everything else in the process runs on the control thread.
class TrafficLoop
{
public:
    TrafficLoop();
    ~TrafficLoop();
    TrafficLoop(const TrafficLoop &) = delete;
    TrafficLoop &operator=(const TrafficLoop &) = delete;

    asio::io_context &context();
    void start();
    /// Stops the thread and waits for its end. Posted functions that have not run yet are dropped.
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
