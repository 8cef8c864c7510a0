#include "output.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

namespace Jujubequay {

namespace {

constexpr std::size_t columnGap = 2;

std::vector<std::size_t> columnWidths(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < widths.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    return widths;
}

}

TextTable::TextTable(std::string title, std::vector<std::string> columns)
    : m_title(std::move(title))
    , m_rows{std::move(columns)}
{
}

void TextTable::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void TextTable::print() const
{
    const auto widths = columnWidths(m_rows);
    fmt::print("{}\n", m_title);
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < widths.size(); ++column) {
            line += fmt::format("{:<{}}", row[column], widths[column] + columnGap);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        fmt::print("  {}\n", line);
    }
}

void printJson(const toml::table &document)
{
    std::cout << toml::json_formatter(document) << '\n';
}

std::string toHex(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes) {
        fmt::format_to(std::back_inserter(text), "{:02x}", static_cast<std::uint8_t>(byte));
    }
    return text;
}

std::int64_t toJsonInteger(std::uint64_t number)
{
    return static_cast<std::int64_t>(number);
}

}
