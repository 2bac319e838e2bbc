#pragma once

#include "lovage/core/fleet_config.h"
#include "lovage/core/result.h"

#include <cstddef>
#include <string>

namespace lovage {

/// Maximum size of the configuration text in bytes. The store holds values of at most 1 MB, and the text is
/// stored as JSON, which escapes line ends and quotes.
inline constexpr std::size_t k_max_config_text_bytes = 900'000;

/// Parses and validates a configuration text in TOML (docs/configuration.md). `name` is the file name
/// used in messages. The revision of the result is 0. Fails with `invalid_configuration` and one line for
/// each problem
/// ("name:line: key: expected ...").
result<fleet_config> parse_config_text(const std::string& text, const std::string& name);

/// Like `parse_config_text`, with additional checks for a text that replaces `current` (null if there is
/// none) at `now`, for example that new deadlines are not in the past.
result<fleet_config> parse_config_update(const std::string& text, const std::string& name,
                                         const fleet_config* current, wall_time now);

} // namespace lovage
