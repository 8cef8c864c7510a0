#pragma once

#include <jujubequay/net/periodic_timer.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <filesystem>
#include <functional>

namespace Jujubequay {

/// Notices changes of the settings file: at SIGHUP, and every second by its time, since the file may change without a signal.
class SettingsWatcher
{
public:
    SettingsWatcher(asio::io_context &context, std::filesystem::path file, std::function<void()> changed);

    void start();
    void stop();

private:
    void waitForSignal();
    void poll();

    const std::filesystem::path m_file;
    const std::function<void()> m_changed;
    asio::signal_set m_signals;
    PeriodicTimer m_timer;
    std::filesystem::file_time_type m_lastWrite{};
};

}
