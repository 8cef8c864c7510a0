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

/// One key as a reader knows it, for the documentation.
struct SettingDescription {
    std::string key; ///< with its section, for example "tls.key_file"; "[]" marks sections that may repeat
    std::string type;
    std::string defaultValue; ///< empty if the key is required
    std::string range;
    std::string help;
};

/// Smallest and largest accepted value.
template<class T>
struct SettingRange {
    T min;
    T max;
};

/// Reads a TOML settings file key by key. Each read states the type, the default and the range of its key; `finish`
/// reports every problem: bad values, missing keys and keys that no read has named.
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
    /// The same for text in memory; `name` stands for the file in errors.
    static Result<SettingsReader> parse(std::string_view text, const std::string &name);
    /// A reader without a file, which only collects descriptions; reads return defaults.
    static SettingsReader describing();

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
    /// In bytes, whatever the unit of the key.
    std::size_t size(std::string_view key, std::size_t defaultValue, SettingRange<std::size_t> range, std::string_view help);
    HostAddress address(std::string_view key, std::string_view help);
    std::optional<HostAddress> optionalAddress(std::string_view key, std::string_view help);
    std::vector<HostAddress> addresses(std::string_view key, std::string_view help);
    /// A path, relative to the directory of the settings file.
    std::filesystem::path path(std::string_view key, std::string_view help);
    std::optional<std::filesystem::path> optionalPath(std::string_view key, std::string_view help);

    /// One of the names in the table.
    template<class Enum, std::size_t Size>
    Enum choice(std::string_view key, const NameTable<Enum, Size> &names, Enum defaultValue, std::string_view help)
    {
        std::vector<std::string_view> known;
        for (const auto &entry : names.entries) {
            known.push_back(entry.second);
        }
        return names.value(choiceText(key, known, names.name(defaultValue), help)).value_or(defaultValue);
    }

    /// A table, for example "[tls]"; its keys may be missing if all have defaults.
    SettingsReader section(std::string_view key);
    /// Repeated tables, for example "[[control_host]]".
    std::vector<SettingsReader> sections(std::string_view key);

    /// Records a problem that a check across several keys has found; named after a key of this section.
    void reject(std::string_view key, std::string_view expected);
    /// Fails with BadSettings; the detail has one line for each problem.
    Result<void> finish();
    const std::vector<SettingDescription> &descriptions() const;

private:
    struct Document;
    struct Value;

    SettingsReader(std::shared_ptr<Document> document, std::size_t table, std::string path, std::string shownPath);
    std::string choiceText(std::string_view key, const std::vector<std::string_view> &known, std::string_view defaultValue, std::string_view help);
    void describe(std::string_view key, std::string_view type, std::string defaultValue, std::string range, std::string_view help);
    std::optional<Value> find(std::string_view key, bool isRequired, std::string_view expected);

    std::shared_ptr<Document> m_document;
    std::size_t m_table;
    std::string m_path;
    std::string m_shownPath;
};

}
