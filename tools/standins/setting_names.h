#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/enum_names.h"

#include <string>

namespace lovage::standins {

/// Reads a setting whose value is the name of an enumerator. The first enumerator is the default; an unknown
/// name is reported to `reader` as a problem.
template <class Enum, std::size_t Count>
Enum read_enum_setting(settings_reader& reader, const std::string& key, const enum_names<Count>& names) {
    const auto value = value_of<Enum>(names, reader.text(key, std::string(names[0])));
    if (!value) {
        std::string expected = "one of";
        for (const auto name : names) {
            expected += " " + std::string(name);
        }
        reader.problem(key, expected);
    }
    return value.value_or(static_cast<Enum>(0));
}

} // namespace lovage::standins
