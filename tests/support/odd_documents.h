#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lovage::testing {

/// Returns the texts in which one value of the JSON document is replaced by an odd one, and malformed texts.
inline std::vector<std::string> odd_variants(const std::string& sample) {
    const std::vector<std::string> odd{
        "null",   "true",  "-1", "0",  "0.5",      "18446744073709551615", "1e308",
        "-1e308", R"("")", "[]", "{}", "[[[[]]]]", R"("\u0000\r\n")"};
    const auto document = nlohmann::json::parse(sample);
    std::vector<std::string> variants{"",
                                      "null",
                                      "[]",
                                      "7",
                                      sample.substr(0, sample.size() / 2),
                                      "\xff",
                                      std::string(100'000, '[') + std::string(100'000, ']')};
    const auto flat = document.flatten();
    for (const auto& [pointer, value] : flat.items()) {
        // Also replaces the lists and objects around the value.
        for (nlohmann::json::json_pointer place(pointer); !place.empty(); place = place.parent_pointer()) {
            for (const auto& text : odd) {
                auto changed = document;
                changed[place] = nlohmann::json::parse(text);
                variants.push_back(changed.dump());
            }
        }
    }
    return variants;
}

} // namespace lovage::testing
