#pragma once

#include <jujubequay/core/name_table.h>

#include <toml++/toml.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubequay {

enum class OutputFormat : std::uint8_t { Table, Json };

constexpr NameTable<OutputFormat, 2> outputFormatNames{{{
    {OutputFormat::Table, "table"},
    {OutputFormat::Json, "json"},
}}};

/// Prints a title and rows whose columns are aligned with spaces.
class TextTable
{
public:
    explicit TextTable(std::string title, std::vector<std::string> columns);

    void add(std::vector<std::string> row);
    void print() const;

private:
    std::string m_title;
    std::vector<std::vector<std::string>> m_rows;
};

void printJson(const toml::table &document);
/// Returns the bytes in hexadecimal digits.
std::string toHex(std::string_view bytes);
/// Converts a number to the integer type of JSON documents.
std::int64_t toJsonInteger(std::uint64_t number);

}
