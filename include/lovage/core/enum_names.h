#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace lovage {

/// A table of names for an enum whose enumerators count up from 0 without gaps.
template <std::size_t Count>
using enum_names = std::array<std::string_view, Count>;

/// Returns the name of `value`, or "unknown" if the value is outside the table.
template <class Enum, std::size_t Count>
constexpr std::string_view name_of(const enum_names<Count>& names, Enum value) {
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? names[index] : std::string_view{"unknown"};
}

/// Returns the enumerator called `name`, or `std::nullopt` if the table has no such name.
template <class Enum, std::size_t Count>
constexpr std::optional<Enum> value_of(const enum_names<Count>& names, std::string_view name) {
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == name) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

} // namespace lovage
