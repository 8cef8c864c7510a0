#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace Jujubequay {

/// Maps the values of an enumeration to their names, in declaration order.
///
///     constexpr NameTable<Colour, 2> colourNames{{{Colour::Red, "red"}, {Colour::Blue, "blue"}}};
///     colourNames.name(Colour::Red); // "red"
template<class Enum, std::size_t Size>
struct NameTable {
    std::array<std::pair<Enum, std::string_view>, Size> entries;

    /// Returns "unknown" for a value that is not in the table.
    constexpr std::string_view name(Enum value) const
    {
        const auto found = std::find_if(entries.begin(), entries.end(), [value](const auto &entry) {
            return entry.first == value;
        });
        return found == entries.end() ? std::string_view("unknown") : found->second;
    }

    /// Returns the value with this name; empty if there is none.
    constexpr std::optional<Enum> value(std::string_view name) const
    {
        const auto found = std::find_if(entries.begin(), entries.end(), [name](const auto &entry) {
            return entry.second == name;
        });
        return found == entries.end() ? std::nullopt : std::optional<Enum>(found->first);
    }
};

}
