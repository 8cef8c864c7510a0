#include <jujubequay/steering_program/settings_watcher.h>

#include <csignal>

namespace Jujubequay {

namespace {

constexpr auto pollInterval = std::chrono::seconds(1);

std::filesystem::file_time_type writeTime(const std::filesystem::path &file)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::filesystem::file_time_type{} : time; // a file that is just being replaced is found by the next poll
}

}

SettingsWatcher::SettingsWatcher(asio::io_context &context, std::filesystem::path file, std::function<void()> onChange)
    : m_file(std::move(file))
    , m_onChange(std::move(onChange))
    , m_signals(context, SIGHUP)
    , m_timer(context,
              pollInterval,
              [this] {
                  poll();
              })
    , m_lastWriteTime(writeTime(m_file))
{
}

void SettingsWatcher::start()
{
    waitForSignal();
    m_timer.start();
}

void SettingsWatcher::stop()
{
    asio::error_code ignored;
    m_signals.cancel(ignored);
    m_timer.stop();
}

void SettingsWatcher::waitForSignal()
{
    m_signals.async_wait([this](const asio::error_code &error, int) {
        if (!error) {
            m_lastWriteTime = writeTime(m_file);
            m_onChange();
            waitForSignal();
        }
    });
}

void SettingsWatcher::poll()
{
    const auto time = writeTime(m_file);
    if (time != m_lastWriteTime) {
        m_lastWriteTime = time;
        m_onChange();
    }
}

}
