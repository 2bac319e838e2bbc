#pragma once

#include "lovage/core/enum_names.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace lovage {

enum class log_level : std::uint8_t { debug, info, warning, error };
inline constexpr std::size_t k_log_level_count = 4;
inline constexpr enum_names<k_log_level_count> k_log_level_names{"debug", "info", "warning", "error"};

/// One key and value of a log line.
using log_field = std::pair<std::string_view, std::string>;

} // namespace lovage
