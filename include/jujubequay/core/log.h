#pragma once

#include <jujubequay/core/clock.h>

#include <fmt/format.h>

#include <atomic>
#include <concepts>
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

/// Program, host and availability zone of the process; part of every log line.
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

/// Name of an event. Lines of one event that differ in `kind`, a name from a fixed table, are counted separately for the suppression of
/// repeats, so that a frequent kind does not hide a rare one.
struct LogEvent {
    template<class Name>
    requires std::convertible_to<const Name &, std::string_view> LogEvent(const Name &name) // NOLINT(google-explicit-constructor): most events have a name only
        : name(name)
    {
    }
    LogEvent(std::string_view name, std::string_view kind)
        : name(name)
        , kind(kind)
    {
    }

    std::string_view name;
    std::string_view kind;
};

enum class LogOutput : std::uint8_t {
    StandardError,
    /// A line that cannot be written to the pipe without blocking is dropped and counted, so that a stalled reader never blocks the process.
    StandardOutput,
};

/// Writes one event per line to standard error or standard output, as key=value fields. Thread-safe.
///
///     logger.info("lease-expired", {{"server", name}, {"age_ms", age.count()}});
///
/// Once an event has been logged `maxRepeats` times within `repeatWindow`, further lines of it are suppressed. The
/// first line of the next window gives the number of suppressed lines.
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

    /// Number of lines dropped because standard output was not writable.
    std::uint64_t droppedLines() const;
    void debug(const LogEvent &event, std::initializer_list<LogField> fields = {});
    void info(const LogEvent &event, std::initializer_list<LogField> fields = {});
    void warning(const LogEvent &event, std::initializer_list<LogField> fields = {});
    void error(const LogEvent &event, std::initializer_list<LogField> fields = {});

protected:
    /// Writes a formatted line. Tests override it to capture the output.
    virtual void write(const std::string &line);

private:
    struct Repeats {
        TimePoint windowStart{};
        std::uint32_t count = 0;
    };

    void log(LogLevel level, const LogEvent &event, std::initializer_list<LogField> fields);
    /// Returns the number of lines of the event that were suppressed before this one; empty if this line is suppressed as well.
    std::optional<std::uint32_t> admit(const LogEvent &event);

    const Clock &m_clock;
    const LogOrigin m_origin;
    const Options m_options;
    std::atomic<std::uint64_t> m_droppedLines = 0;
    std::mutex m_mutex;
    std::map<std::string, Repeats, std::less<>> m_repeats;
};

}
