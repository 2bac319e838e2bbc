#include "lovage/core/prompt_affinity.h"

#include "lovage/core/ids.h"
#include "lovage/core/rendezvous.h"

#include <algorithm>

namespace lovage {

namespace {

// Of three targets the least loaded one is nearly as free as the least loaded of all.
constexpr std::size_t k_preferred_in_zone = 3;
constexpr std::size_t k_preferred_elsewhere = 3;

} // namespace

std::uint64_t count_kept_tokens(const std::vector<prompt_part>& prompt,
                                const std::vector<prompt_part>& kept) {
    std::uint64_t tokens = 0;
    for (const auto& part : prompt) {
        const auto found = std::find_if(kept.begin(), kept.end(),
                                        [&part](const prompt_part& other) { return other.id == part.id; });
        if (found == kept.end()) {
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
                                           const std::string& zone, const std::vector<prompt_part>& prompt) {
    if (prompt.empty()) {
        return {};
    }
    const auto key = hash_bytes(prompt.back().id);
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& candidate : candidates) {
        (candidate.record->zone == zone ? near : far).push_back(candidate.record->id);
    }
    std::vector<std::string> preferred;
    for (const auto index : rendezvous_top(near, key, k_preferred_in_zone)) {
        preferred.push_back(near[index]);
    }
    for (const auto index : rendezvous_top(far, key, k_preferred_elsewhere)) {
        preferred.push_back(far[index]);
    }
    return preferred;
}

} // namespace lovage
