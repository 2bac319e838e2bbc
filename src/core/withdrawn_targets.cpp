#include "lovage/core/withdrawn_targets.h"

#include <algorithm>

namespace lovage {

namespace {

// Copies of the store are some seconds old.
constexpr milliseconds k_retention{600'000};
// Bound on the memory, several times the largest fleet that is planned for.
constexpr std::size_t k_max_withdrawn = 4'096;

void remove_oldest(withdrawn_targets& withdrawn, time_point now) {
    for (auto entry = withdrawn.begin(); entry != withdrawn.end();) {
        entry = now - entry->second.withdrawn_at > k_retention ? withdrawn.erase(entry) : std::next(entry);
    }
    if (withdrawn.size() >= k_max_withdrawn) {
        withdrawn.erase(
            std::min_element(withdrawn.begin(), withdrawn.end(), [](const auto& a, const auto& b) {
                return a.second.withdrawn_at < b.second.withdrawn_at;
            }));
    }
}

} // namespace

void record_withdrawal(withdrawn_targets& withdrawn, const target_record& target, std::uint64_t era,
                       time_point now) {
    remove_oldest(withdrawn, now);
    auto& known = withdrawn[target.id];
    const bool is_same_start = known.started_ms == target.started_ms;
    const bool has_announced =
        target.phase == target_phase::draining || (is_same_start && known.has_announced);
    known = {target.started_ms, has_announced, era, now};
}

entry_standing judge_entry(const withdrawn_targets& withdrawn, const target_record& entry,
                           std::uint64_t era) {
    const auto found = withdrawn.find(entry.id);
    if (found == withdrawn.end() || found->second.started_ms != entry.started_ms ||
        found->second.era == era) {
        return entry_standing::current;
    }
    return found->second.has_announced ? entry_standing::outdated : entry_standing::unconfirmed;
}

} // namespace lovage
