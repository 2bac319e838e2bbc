#pragma once

#include "lovage/core/prompt_part.h"
#include "lovage/core/target_choice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovage {

/// Tokens of `prompt` that an engine which keeps the parts `kept` does not read again: an engine uses a part
/// only if it keeps all parts before it.
std::uint64_t count_kept_tokens(const std::vector<prompt_part>& prompt, const std::vector<prompt_part>& kept);

/// Ids of the targets that a prompt goes to first, some in each zone. They depend only on the prompt's last
/// part, which belongs to one request or session, so that any process finds the memory of the request's
/// earlier attempts. Empty for a request without a prompt.
std::vector<std::string> preferred_targets(const std::vector<target_candidate>& candidates,
                                           const std::vector<prompt_part>& prompt);

} // namespace lovage
