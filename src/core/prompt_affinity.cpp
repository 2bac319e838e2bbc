#include "lovage/core/prompt_affinity.h"

#include "lovage/core/ids.h"
#include "lovage/core/rendezvous.h"

#include <algorithm>
#include <map>

namespace lovage {

namespace {

// With two targets per zone, the less loaded one is nearly as free as the least loaded of all.
constexpr std::size_t k_preferred_per_zone = 2;

} // namespace

std::uint64_t count_cached_tokens(const std::vector<prompt_part>& prompt,
                                  const std::vector<prompt_part>& cached) {
    std::uint64_t tokens = 0;
    for (const auto& part : prompt) {
        const auto found = std::find_if(cached.begin(), cached.end(),
                                        [&part](const prompt_part& other) { return other.id == part.id; });
        if (found == cached.end()) {
            break;
        }
        tokens += std::min(part.tokens, found->tokens);
        if (found->tokens < part.tokens) {
            break;
        }
    }
    return tokens;
}

std::vector<std::string> preferred_targets(const std::vector<target_candidate>& candidates,
                                           const std::vector<prompt_part>& prompt) {
    if (prompt.empty()) {
        return {};
    }
    const auto key = hash_bytes(prompt.back().id);
    std::map<std::string, std::vector<std::string>> by_zone;
    for (const auto& candidate : candidates) {
        by_zone[candidate.record->zone].push_back(candidate.record->id);
    }
    std::vector<std::string> preferred;
    for (const auto& [zone, ids] : by_zone) {
        for (const auto index : rendezvous_top(ids, key, k_preferred_per_zone)) {
            preferred.push_back(ids[index]);
        }
    }
    return preferred;
}

} // namespace lovage
