#pragma once

#include <jujubequay/net/periodic_timer.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <filesystem>
#include <functional>

namespace Jujubequay {

/// Calls a handler after SIGHUP, and when the modification time of the settings file changes. The time is polled every second, since the
/// file may change without a signal.
class SettingsWatcher
{
public:
    SettingsWatcher(asio::io_context &context, std::filesystem::path file, std::function<void()> onChange);

    void start();
    void stop();

private:
    void waitForSignal();
    void poll();

    const std::filesystem::path m_file;
    const std::function<void()> m_onChange;
    asio::signal_set m_signals;
    PeriodicTimer m_timer;
    std::filesystem::file_time_type m_lastWriteTime{};
};

}
