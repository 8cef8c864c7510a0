#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/name_table.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubequay {

/// One key of a settings file, for the documentation.
struct SettingDescription {
    std::string key; ///< including its section, for example "tls.key_file"; "[]" marks repeatable sections
    std::string type;
    std::string defaultValue; ///< empty if the key is required
    std::string range;
    std::string help;
};

/// Smallest and largest accepted value, both inclusive.
template<class T>
struct SettingRange {
    T min;
    T max;
};

/// Reads a TOML settings file key by key. Each read states the type, the default and the range of its key; `finish`
/// reports every problem: invalid values, missing keys, and keys in the file that were not read.
///
///     BOOST_LEAF_AUTO(reader, SettingsReader::open("jjq-control.toml"));
///     const auto heartbeat = reader.duration("heartbeat_ms", 100ms, {10ms, 10s}, "interval between heartbeats");
///     BOOST_LEAF_CHECK(reader.finish());
///
/// Names of durations end in "_ms" or "_s" and names of sizes in "_bytes" or "_kib".
class SettingsReader
{
public:
    /// Fails with BadSettings if the file cannot be read or is not TOML.
    static Result<SettingsReader> open(const std::filesystem::path &file);
    /// Like open, for a text in memory. `name` is used as the file name in errors.
    static Result<SettingsReader> parse(std::string_view text, const std::string &name);
    /// Creates a reader without a file, which only collects descriptions. Reads return defaults.
    static SettingsReader forDocumentation();

    std::string text(std::string_view key, std::string_view help);
    std::string text(std::string_view key, std::string_view defaultValue, std::string_view help);
    std::vector<std::string> texts(std::string_view key, std::string_view help);
    bool flag(std::string_view key, bool defaultValue, std::string_view help);
    std::int64_t integer(std::string_view key, std::int64_t defaultValue, SettingRange<std::int64_t> range, std::string_view help);
    double number(std::string_view key, double defaultValue, SettingRange<double> range, std::string_view help);
    std::chrono::milliseconds duration(std::string_view key,
                                       std::chrono::milliseconds defaultValue,
                                       SettingRange<std::chrono::milliseconds> range,
                                       std::string_view help);
    /// Returns the size in bytes for any unit of the key. `defaultValue` and `range` are in bytes too.
    std::size_t size(std::string_view key, std::size_t defaultValue, SettingRange<std::size_t> range, std::string_view help);
    HostAddress address(std::string_view key, std::string_view help);
    std::optional<HostAddress> optionalAddress(std::string_view key, std::string_view help);
    std::vector<HostAddress> addresses(std::string_view key, std::string_view help);
    /// Returns a path; relative paths start at the directory of the settings file.
    std::filesystem::path path(std::string_view key, std::string_view help);
    std::optional<std::filesystem::path> optionalPath(std::string_view key, std::string_view help);

    /// Accepts one of the names in the table.
    template<class Enum, std::size_t Size>
    Enum choice(std::string_view key, const NameTable<Enum, Size> &names, Enum defaultValue, std::string_view help)
    {
        std::vector<std::string_view> accepted;
        for (const auto &entry : names.entries) {
            accepted.push_back(entry.second);
        }
        return names.value(choiceText(key, accepted, names.name(defaultValue), help)).value_or(defaultValue);
    }

    /// Returns a reader of a table, for example "[tls]". The table may be missing if all its keys have defaults.
    SettingsReader section(std::string_view key);
    /// Returns a reader for each of the repeated tables, for example "[[control_host]]".
    std::vector<SettingsReader> sections(std::string_view key);

    /// Records a problem that a check across several keys has found. `key` is the key of this section that is reported.
    void reject(std::string_view key, std::string_view expected);
    /// Ends the reads. Fails with BadSettings if there were problems; the detail has one line for each problem.
    Result<void> finish();
    const std::vector<SettingDescription> &descriptions() const;

private:
    struct Document;
    struct Value;

    SettingsReader(std::shared_ptr<Document> document, std::size_t table, std::string path, std::string displayPath);
    std::string choiceText(std::string_view key, const std::vector<std::string_view> &names, std::string_view defaultValue, std::string_view help);
    void describe(std::string_view key, std::string_view type, std::string defaultValue, std::string range, std::string_view help);
    std::optional<Value> find(std::string_view key, bool isRequired, std::string_view expected);

    std::shared_ptr<Document> m_document;
    std::size_t m_table;
    std::string m_path;
    std::string m_displayPath;
};

}
