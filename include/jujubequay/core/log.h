#pragma once

#include <jujubequay/core/clock.h>

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubequay {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

std::string_view logLevelName(LogLevel level);
std::optional<LogLevel> parseLogLevel(std::string_view name);

/// Where a process runs; part of every log line.
struct LogOrigin {
    std::string program;
    std::string host;
    std::string zone;
};

/// One key and value of a log line. Values with spaces are quoted.
struct LogField {
    template<class T>
    LogField(std::string_view key, const T &value)
        : key(key)
        , value(fmt::format("{}", value))
    {
    }

    std::string_view key;
    std::string value;
};

enum class LogOutput : std::uint8_t {
    StandardError,
    /// Standard output. A line that a pipe cannot take at once is dropped and counted, so that a reader that has stopped never
    /// blocks the process.
    StandardOutput,
};

/// Writes one event a line to standard error or standard output, as key=value fields. Safe to use from any thread.
///
///     logger.info("lease-expired", {{"server", name}, {"age_ms", age.count()}});
///
/// An event name that repeats more than `maxRepeats` times within `repeatWindow` is suppressed; the next window starts
/// with the count of suppressed lines.
class Logger
{
public:
    struct Options {
        LogLevel level = LogLevel::Info;
        LogOutput output = LogOutput::StandardError;
        std::uint32_t maxRepeats = 20;
        Duration repeatWindow = std::chrono::seconds(10);
    };

    Logger(const Clock &clock, LogOrigin origin, Options options);
    virtual ~Logger() = default;

    /// Lines that standard output did not take.
    std::uint64_t droppedLines() const;
    void debug(std::string_view event, std::initializer_list<LogField> fields = {});
    void info(std::string_view event, std::initializer_list<LogField> fields = {});
    void warning(std::string_view event, std::initializer_list<LogField> fields = {});
    void error(std::string_view event, std::initializer_list<LogField> fields = {});

protected:
    /// Writes a finished line; replaced by tests.
    virtual void write(const std::string &line);

private:
    struct Repeats {
        TimePoint windowStart{};
        std::uint32_t count = 0;
    };

    void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
    /// Returns the number of lines suppressed before this one, or nothing if this line is suppressed too.
    std::optional<std::uint32_t> admit(std::string_view event);

    const Clock &m_clock;
    const LogOrigin m_origin;
    const Options m_options;
    std::atomic<std::uint64_t> m_droppedLines = 0;
    std::mutex m_mutex;
    std::map<std::string, Repeats, std::less<>> m_repeats;
};

}
