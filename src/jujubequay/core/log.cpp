#include <jujubequay/core/log.h>
#include <jujubequay/core/name_table.h>

#include <fmt/chrono.h>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <cstdio>

namespace Jujubequay {

namespace {

constexpr NameTable<LogLevel, 4> levelNames{{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}}};

std::string quotedIfNeeded(const std::string &value)
{
    const bool needsNoQuotes = !value.empty() && value.find_first_of(" \"\n=") == std::string::npos;
    if (needsNoQuotes) {
        return value;
    }
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
    return text + '"';
}

std::string wallClockText()
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), (now - seconds).count());
}

}

std::string_view logLevelName(LogLevel level)
{
    return levelNames.name(level);
}

std::optional<LogLevel> parseLogLevel(std::string_view name)
{
    return levelNames.value(name);
}

Logger::Logger(const Clock &clock, LogOrigin origin, Options options)
    : m_clock(clock)
    , m_origin(std::move(origin))
    , m_options(options)
{
}

void Logger::debug(const LogEvent &event, std::initializer_list<LogField> fields)
{
    log(LogLevel::Debug, event, fields);
}

void Logger::info(const LogEvent &event, std::initializer_list<LogField> fields)
{
    log(LogLevel::Info, event, fields);
}

void Logger::warning(const LogEvent &event, std::initializer_list<LogField> fields)
{
    log(LogLevel::Warning, event, fields);
}

void Logger::error(const LogEvent &event, std::initializer_list<LogField> fields)
{
    log(LogLevel::Error, event, fields);
}

void Logger::write(const std::string &line)
{
    if (m_options.output == LogOutput::StandardError) {
        fmt::print(stderr, "{}", line);
        return;
    }
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool isWritable = line.size() <= PIPE_BUF && poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!isWritable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        m_droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
}

std::uint64_t Logger::droppedLines() const
{
    return m_droppedLines.load(std::memory_order_relaxed);
}

void Logger::log(LogLevel level, const LogEvent &event, std::initializer_list<LogField> fields)
{
    if (level < m_options.level) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    const auto suppressed = admit(event);
    if (!suppressed) {
        return;
    }
    std::string line = fmt::format("time={} level={} program={} host={} zone={} event={}",
                                   wallClockText(),
                                   logLevelName(level),
                                   quotedIfNeeded(m_origin.program),
                                   quotedIfNeeded(m_origin.host),
                                   quotedIfNeeded(m_origin.zone),
                                   event.name);
    for (const LogField &field : fields) {
        line += fmt::format(" {}={}", field.key, quotedIfNeeded(field.value));
    }
    if (*suppressed > 0) {
        line += fmt::format(" suppressed={}", *suppressed);
    }
    write(line + "\n");
}

std::optional<std::uint32_t> Logger::admit(const LogEvent &event)
{
    const TimePoint now = m_clock.now();
    const auto [entry, inserted] = m_repeats.try_emplace(fmt::format("{} {}", event.name, event.kind), Repeats{now, 0});
    Repeats &repeats = entry->second;
    std::uint32_t suppressed = 0;
    if (now - repeats.windowStart >= m_options.repeatWindow) {
        suppressed = repeats.count > m_options.maxRepeats ? repeats.count - m_options.maxRepeats : 0;
        repeats = Repeats{now, 0};
    }
    ++repeats.count;
    if (repeats.count > m_options.maxRepeats) {
        return std::nullopt;
    }
    return suppressed;
}

}
