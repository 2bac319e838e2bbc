#pragma once

#include "lovage/core/prompt_part.h"
#include "lovage/core/target_choice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovage {

/// Returns the number of tokens of `prompt` that an engine whose prefix cache holds the parts `cached` need
/// not prefill again. A part is usable only if all parts before it are cached.
std::uint64_t count_cached_tokens(const std::vector<prompt_part>& prompt,
                                  const std::vector<prompt_part>& cached);

/// Returns the ids of the targets that are preferred for a prompt, a few in each zone. They depend only on
/// the prompt's last part, which belongs to one request or session, so that any process finds the cached
/// prompt of the request's earlier attempts. Empty for a request without a prompt.
std::vector<std::string> preferred_targets(const std::vector<target_candidate>& candidates,
                                           const std::vector<prompt_part>& prompt);

} // namespace lovage
