#include "lovage/core/prompt_location.h"

#include "lovage/core/ids.h"

#include <algorithm>
#include <iterator>

namespace lovage {

namespace {

// Callers of an interrupted stream return within a second or two; by then the engine may also have dropped
// the prompt from its cache.
constexpr milliseconds k_location_retention{10'000};
// Bound on the memory: the streams of some ten processes that stop at a time.
constexpr std::size_t k_max_known_locations = 2'000;

bool is_expired(const known_locations::entry& entry, time_point now) {
    return now - entry.heard > k_location_retention;
}

} // namespace

std::uint64_t prompt_key(const std::vector<prompt_part>& prompt) {
    return prompt.empty() ? 0 : hash_bytes(prompt.back().id);
}

bool record_location(known_locations& known, prompt_location location, time_point now) {
    const auto found = known.by_prompt.find(location.prompt);
    if (found == known.by_prompt.end()) {
        if (known.by_prompt.size() >= k_max_known_locations) {
            forget_locations(known, now);
        }
        if (known.by_prompt.size() >= k_max_known_locations) {
            return false;
        }
        const auto key = location.prompt;
        known.by_prompt[key] = {std::move(location), now};
        return true;
    }
    auto& entry = found->second;
    const bool is_changed = is_expired(entry, now) || entry.location.target_id != location.target_id ||
                            entry.location.target_started_ms != location.target_started_ms;
    entry = {std::move(location), now};
    return is_changed;
}

const prompt_location* find_location(const known_locations& known, const std::vector<prompt_part>& prompt,
                                     time_point now) {
    if (prompt.empty()) {
        return nullptr;
    }
    const auto found = known.by_prompt.find(prompt_key(prompt));
    return found != known.by_prompt.end() && !is_expired(found->second, now) ? &found->second.location
                                                                             : nullptr;
}

void forget_locations(known_locations& known, time_point now) {
    for (auto entry = known.by_prompt.begin(); entry != known.by_prompt.end();) {
        entry = is_expired(entry->second, now) ? known.by_prompt.erase(entry) : std::next(entry);
    }
}

std::vector<prompt_location> next_locations(std::vector<prompt_location> all, std::size_t reports_per_turn,
                                            location_turn& turn) {
    if (all.size() <= k_max_reported_locations) {
        turn = {};
        return all;
    }
    if (turn.reports >= reports_per_turn) {
        turn = {turn.position + k_max_reported_locations, 0};
    }
    ++turn.reports;
    turn.position %= all.size();
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(turn.position), all.end());
    all.resize(k_max_reported_locations);
    return all;
}

} // namespace lovage
