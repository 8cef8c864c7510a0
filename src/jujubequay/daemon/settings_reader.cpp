#include "jujubequay/daemon/edit_distance.h"

#include <jujubequay/core/invariant.h>
#include <jujubequay/daemon/settings_reader.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace Jujubequay {

namespace {

/// Returns the line of the first control character, or of the first non-ASCII character outside comments. Such files are rejected before
/// parsing, because toml++ 3.3 has undefined behaviour for some non-ASCII characters, also while it reports other errors. Strings can contain
/// them as escapes.
std::optional<std::size_t> lineOfDisallowedCharacter(std::string_view text)
{
    constexpr unsigned char firstPrintableCharacter = 0x20;
    constexpr unsigned char deleteCharacter = 0x7F;
    std::size_t line = 1;
    char openQuote = 0; // quote character of the string at this position; 0 outside strings
    bool isComment = false;
    bool isEscaped = false;
    for (const char character : text) {
        const auto value = static_cast<unsigned char>(character);
        const bool isControl = (value < firstPrintableCharacter && character != '\t' && character != '\n' && character != '\r') || value == deleteCharacter;
        if (isControl || (value > deleteCharacter && !isComment)) {
            return line;
        }
        if (character == '\n') {
            ++line;
            openQuote = 0;
            isComment = false;
        } else if (openQuote != 0) {
            openQuote = character == openQuote && !isEscaped ? 0 : openQuote;
        } else if (!isComment && (character == '"' || character == '\'')) {
            openQuote = character;
        } else {
            isComment = isComment || character == '#';
        }
        isEscaped = openQuote == '"' && character == '\\' && !isEscaped;
    }
    return std::nullopt;
}

using std::chrono::milliseconds;

std::int64_t millisecondsPerUnit(std::string_view key)
{
    checkInvariant(key.ends_with("_ms") || key.ends_with("_s"), "names of durations end in their unit");
    return key.ends_with("_ms") ? 1 : 1000;
}

std::size_t bytesPerUnit(std::string_view key)
{
    checkInvariant(key.ends_with("_bytes") || key.ends_with("_kib"), "names of sizes end in their unit");
    return key.ends_with("_kib") ? 1024 : 1;
}

std::string rangeText(const auto &min, const auto &max)
{
    return fmt::format("{} to {}", min, max);
}

}

struct SettingsReader::Document {
    std::string name;
    std::filesystem::path directory;
    toml::table root;
    std::vector<const toml::table *> tables; ///< tables of all section readers; null if the file lacks the section
    std::map<std::string, std::set<std::string>> readKeys; ///< keys read so far, by the path of their table
    std::vector<std::string> problems;
    std::vector<SettingDescription> descriptions;
    std::set<std::string> describedKeys; ///< keys in `descriptions`
    bool isForDocumentation = false; ///< there is no file; missing keys are not problems

    std::string location(const toml::source_region &source) const
    {
        return fmt::format("{}:{}", name, source.begin.line);
    }

    void reject(const toml::node &node, std::string_view path, std::string_view expected)
    {
        problems.push_back(fmt::format("{}: {}: expected {}", location(node.source()), path, expected));
    }

    std::string nearestKey(const std::string &path, std::string_view key) const
    {
        const auto found = readKeys.find(path);
        if (found == readKeys.end() || found->second.empty()) {
            return {};
        }
        const auto &names = found->second;
        return *std::min_element(names.begin(), names.end(), [key](const std::string &left, const std::string &right) {
            return editDistance(key, left) < editDistance(key, right);
        });
    }

    void rejectUnknownKeys(const toml::table &table, const std::string &path)
    {
        for (const auto &[key, node] : table) {
            const std::string name(key.str());
            const auto found = readKeys.find(path);
            if (found == readKeys.end() || !found->second.contains(name)) {
                const std::string nearestName = nearestKey(path, name);
                const std::string hint
                    = nearestName.empty() ? "no key in this section" : fmt::format("a known key; the nearest is \"{}{}\"", path, nearestName);
                problems.push_back(fmt::format("{}: {}{}: unknown key, expected {}", location(key.source()), path, name, hint));
                continue;
            }
            rejectUnknownKeysIn(node, path + name);
        }
    }

    void rejectUnknownKeysIn(const toml::node &node, const std::string &path)
    {
        if (const toml::table *table = node.as_table()) {
            rejectUnknownKeys(*table, path + ".");
            return;
        }
        const toml::array *array = node.as_array();
        if (array == nullptr) {
            return;
        }
        for (const toml::node &element : *array) {
            if (const toml::table *table = element.as_table()) {
                rejectUnknownKeys(*table, path + "[].");
            }
        }
    }
};

/// A node of the file, with the path and the expectation for the error message.
struct SettingsReader::Value {
    const toml::node &node;
    Document &document;
    std::string path;
    std::string expected;

    void reject() const
    {
        document.reject(node, path, expected);
    }

    template<class T>
    std::optional<T> as() const
    {
        std::optional<T> value = node.value_exact<T>();
        if (!value) {
            reject();
        }
        return value;
    }

    std::vector<std::string> texts() const
    {
        std::vector<std::string> texts;
        const toml::array *array = node.as_array();
        if (array == nullptr) {
            reject();
            return {};
        }
        for (const toml::node &element : *array) {
            const auto text = element.value_exact<std::string>();
            if (!text) {
                document.reject(element, path, expected);
                return {};
            }
            texts.push_back(*text);
        }
        return texts;
    }
};

SettingsReader::SettingsReader(std::shared_ptr<Document> document, std::size_t table, std::string path, std::string displayPath)
    : m_document(std::move(document))
    , m_table(table)
    , m_path(std::move(path))
    , m_displayPath(std::move(displayPath))
{
}

Result<SettingsReader> SettingsReader::open(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) {
        return fail(ResultCode::BadSettings, fmt::format("{}: cannot be read", file.string()));
    }
    BOOST_LEAF_AUTO(reader, parse(content.str(), file.string()));
    reader.m_document->directory = file.parent_path();
    return reader;
}

Result<SettingsReader> SettingsReader::parse(std::string_view text, const std::string &name)
{
    if (const auto line = lineOfDisallowedCharacter(text)) {
        return fail(ResultCode::BadSettings, fmt::format("{}:{}: a control character, or a non-ASCII character outside a comment", name, *line));
    }
    toml::parse_result parsed = toml::parse(text, name);
    if (!parsed) {
        const toml::parse_error &error = parsed.error();
        return fail(ResultCode::BadSettings, fmt::format("{}:{}: {}", name, error.source().begin.line, error.description()));
    }
    auto document = std::make_shared<Document>();
    document->name = name;
    document->root = std::move(parsed).table();
    document->tables.push_back(&document->root);
    return SettingsReader(std::move(document), 0, {}, {});
}

SettingsReader SettingsReader::forDocumentation()
{
    auto document = std::make_shared<Document>();
    document->isForDocumentation = true;
    document->tables.push_back(nullptr);
    return {std::move(document), 0, {}, {}};
}

void SettingsReader::describe(std::string_view key, std::string_view type, std::string defaultValue, std::string range, std::string_view help)
{
    const std::string name = m_path + std::string(key);
    if (m_document->describedKeys.insert(name).second) {
        m_document->descriptions.push_back({name, std::string(type), std::move(defaultValue), std::move(range), std::string(help)});
    }
}

std::optional<SettingsReader::Value> SettingsReader::find(std::string_view key, bool isRequired, std::string_view expected)
{
    m_document->readKeys[m_path].insert(std::string(key));
    const toml::table *table = m_document->tables[m_table];
    const toml::node *node = table == nullptr ? nullptr : table->get(key);
    if (node != nullptr) {
        return Value{*node, *m_document, m_displayPath + std::string(key), std::string(expected)};
    }
    if (isRequired && !m_document->isForDocumentation) {
        const std::string location = table == nullptr ? m_document->name : m_document->location(table->source());
        m_document->problems.push_back(fmt::format("{}: {}{}: missing, expected {}", location, m_displayPath, key, expected));
    }
    return std::nullopt;
}

std::string SettingsReader::text(std::string_view key, std::string_view help)
{
    describe(key, "text", {}, {}, help);
    const auto value = find(key, true, "text");
    return value ? value->as<std::string>().value_or(std::string()) : std::string();
}

std::string SettingsReader::text(std::string_view key, std::string_view defaultValue, std::string_view help)
{
    describe(key, "text", fmt::format("\"{}\"", defaultValue), {}, help);
    const auto value = find(key, false, "text");
    return value ? value->as<std::string>().value_or(std::string()) : std::string(defaultValue);
}

std::vector<std::string> SettingsReader::texts(std::string_view key, std::string_view help)
{
    describe(key, "list of texts", "[]", {}, help);
    const auto value = find(key, false, "a list of texts");
    return value ? value->texts() : std::vector<std::string>();
}

bool SettingsReader::flag(std::string_view key, bool defaultValue, std::string_view help)
{
    describe(key, "true or false", defaultValue ? "true" : "false", {}, help);
    const auto value = find(key, false, "true or false");
    return value ? value->as<bool>().value_or(defaultValue) : defaultValue;
}

std::int64_t SettingsReader::integer(std::string_view key, std::int64_t defaultValue, SettingRange<std::int64_t> range, std::string_view help)
{
    const std::string accepted = rangeText(range.min, range.max);
    describe(key, "integer", std::to_string(defaultValue), accepted, help);
    const auto value = find(key, false, "an integer from " + accepted);
    if (!value) {
        return defaultValue;
    }
    const auto number = value->as<std::int64_t>();
    if (number && (*number < range.min || *number > range.max)) {
        value->reject();
        return defaultValue;
    }
    return number.value_or(defaultValue);
}

double SettingsReader::number(std::string_view key, double defaultValue, SettingRange<double> range, std::string_view help)
{
    const std::string accepted = rangeText(range.min, range.max);
    describe(key, "number", fmt::format("{}", defaultValue), accepted, help);
    const auto value = find(key, false, "a number from " + accepted);
    if (!value) {
        return defaultValue;
    }
    const auto number = value->node.value<double>();
    // The negated comparison also rejects NaN.
    if (!value->node.is_number() || !number || !(*number >= range.min && *number <= range.max)) {
        value->reject();
        return defaultValue;
    }
    return *number;
}

milliseconds SettingsReader::duration(std::string_view key, milliseconds defaultValue, SettingRange<milliseconds> range, std::string_view help)
{
    const std::int64_t unit = millisecondsPerUnit(key);
    return milliseconds(integer(key, defaultValue.count() / unit, {range.min.count() / unit, range.max.count() / unit}, help) * unit);
}

std::size_t SettingsReader::size(std::string_view key, std::size_t defaultValue, SettingRange<std::size_t> range, std::string_view help)
{
    const std::size_t unit = bytesPerUnit(key);
    const auto inUnits = [unit](std::size_t bytes) {
        return static_cast<std::int64_t>(bytes / unit);
    };
    return static_cast<std::size_t>(integer(key, inUnits(defaultValue), {inUnits(range.min), inUnits(range.max)}, help)) * unit;
}

HostAddress SettingsReader::address(std::string_view key, std::string_view help)
{
    describe(key, "address", {}, {}, help);
    const auto value = find(key, true, "an address such as \"127.0.0.1:7400\"");
    const auto text = value ? value->as<std::string>() : std::nullopt;
    const auto address = text ? parseHostAddress(*text) : std::nullopt;
    if (text && !address) {
        value->reject();
    }
    return address.value_or(HostAddress{});
}

std::optional<HostAddress> SettingsReader::optionalAddress(std::string_view key, std::string_view help)
{
    describe(key, "address", "none", {}, help);
    const auto value = find(key, false, "an address such as \"127.0.0.1:7400\"");
    const auto text = value ? value->as<std::string>() : std::nullopt;
    const auto address = text ? parseHostAddress(*text) : std::nullopt;
    if (text && !address) {
        value->reject();
    }
    return address;
}

std::vector<HostAddress> SettingsReader::addresses(std::string_view key, std::string_view help)
{
    describe(key, "list of addresses", "[]", {}, help);
    const auto value = find(key, false, "a list of addresses such as \"127.0.0.1:7400\"");
    std::vector<HostAddress> addresses;
    for (const std::string &text : value ? value->texts() : std::vector<std::string>()) {
        const auto address = parseHostAddress(text);
        if (!address) {
            value->reject();
            return {};
        }
        addresses.push_back(*address);
    }
    return addresses;
}

std::filesystem::path SettingsReader::path(std::string_view key, std::string_view help)
{
    describe(key, "path", {}, {}, help);
    const auto value = find(key, true, "a path");
    const auto text = value ? value->as<std::string>() : std::nullopt;
    return text ? m_document->directory / *text : std::filesystem::path();
}

std::optional<std::filesystem::path> SettingsReader::optionalPath(std::string_view key, std::string_view help)
{
    describe(key, "path", "none", {}, help);
    const auto value = find(key, false, "a path");
    const auto text = value ? value->as<std::string>() : std::nullopt;
    return text ? std::optional(m_document->directory / *text) : std::nullopt;
}

std::string SettingsReader::choiceText(std::string_view key, const std::vector<std::string_view> &names, std::string_view defaultValue, std::string_view help)
{
    const std::string accepted = fmt::format("{}", fmt::join(names, ", "));
    describe(key, "one of the names", fmt::format("\"{}\"", defaultValue), accepted, help);
    const auto value = find(key, false, "one of " + accepted);
    const auto text = value ? value->as<std::string>() : std::nullopt;
    if (text && std::find(names.begin(), names.end(), *text) == names.end()) {
        value->reject();
    }
    return text.value_or(std::string(defaultValue));
}

SettingsReader SettingsReader::section(std::string_view key)
{
    const auto value = find(key, false, "a section");
    const toml::table *table = value ? value->node.as_table() : nullptr;
    if (value && table == nullptr) {
        value->reject();
    }
    m_document->tables.push_back(table);
    const std::string name(key);
    return {m_document, m_document->tables.size() - 1, m_path + name + ".", m_displayPath + name + "."};
}

std::vector<SettingsReader> SettingsReader::sections(std::string_view key)
{
    const auto value = find(key, false, "repeated sections");
    std::vector<const toml::table *> tables;
    if (m_document->isForDocumentation) {
        tables.push_back(nullptr);
    }
    const toml::array *array = value ? value->node.as_array() : nullptr;
    if (value && (array == nullptr || !array->is_homogeneous<toml::table>())) {
        value->reject();
    } else if (array != nullptr) {
        for (const toml::node &element : *array) {
            tables.push_back(element.as_table());
        }
    }
    std::vector<SettingsReader> readers;
    for (const toml::table *table : tables) {
        m_document->tables.push_back(table);
        const std::string shown = fmt::format("{}{}[{}].", m_displayPath, key, readers.size());
        readers.push_back(SettingsReader(m_document, m_document->tables.size() - 1, fmt::format("{}{}[].", m_path, key), shown));
    }
    return readers;
}

void SettingsReader::reject(std::string_view key, std::string_view expected)
{
    if (m_document->isForDocumentation) {
        return;
    }
    const toml::table *table = m_document->tables[m_table];
    const toml::node *node = table == nullptr ? nullptr : table->get(key);
    const std::string location = node == nullptr ? m_document->name : m_document->location(node->source());
    m_document->problems.push_back(fmt::format("{}: {}{}: expected {}", location, m_displayPath, key, expected));
}

Result<void> SettingsReader::finish()
{
    m_document->rejectUnknownKeys(m_document->root, {});
    if (m_document->problems.empty()) {
        return {};
    }
    return fail(ResultCode::BadSettings, fmt::format("{}", fmt::join(m_document->problems, "\n")));
}

const std::vector<SettingDescription> &SettingsReader::descriptions() const
{
    return m_document->descriptions;
}

}
