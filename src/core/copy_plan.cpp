#include "lovage/core/copy_plan.h"

#include "lovage/core/engine_memory.h"

#include <algorithm>

namespace lovage {

namespace {

// Runs may fill 0.9 of an engine's memory. Copies of rank 0 leave the rest to what other processes have
// started since their last reports; copies of other ranks also leave room for one run of 8,000 tokens and its
// output at an engine of 88,000 tokens.
constexpr double k_urgent_copy_fraction = 0.85;
constexpr double k_other_copy_fraction = 0.75;
// A generation with less left ends before its copy pays: making it takes tens of milliseconds of both
// engines.
constexpr double k_min_part_left = 0.15;
// The copy of a generation with less left may be released for runs whatever its rank.
constexpr double k_expendable_part_left = 0.3;
// Parts of the engines that have memory for a run: below the first, only generations of rank 0 with much left
// get copies; below the second, no generation does, and the others' copies are released. The distance keeps
// copies from being made and released in turn.
constexpr double k_scarce_part = 0.25;
constexpr double k_short_part = 0.1;
// Weight of the newest stream in the moving average.
constexpr double k_newest_weight = 0.1;

bool is_expendable(const copy_value& value) {
    return value.rank > 0 || value.left < k_expendable_part_left;
}

bool has_memory_at(const memory_room& room, double part) {
    return static_cast<double>(room.engines_with_memory) >= part * static_cast<double>(room.engines);
}

} // namespace

void record_stream_length(stream_length& length, std::uint64_t events, std::uint64_t max_output_tokens) {
    if (events == 0 || max_output_tokens == 0) {
        return;
    }
    const double ratio = static_cast<double>(events) / static_cast<double>(max_output_tokens);
    length.events_per_token =
        length.events_per_token == 0.0
            ? ratio
            : length.events_per_token + k_newest_weight * (ratio - length.events_per_token);
}

double part_left(const stream_length& length, std::uint64_t events, std::uint64_t max_output_tokens) {
    const double expected = length.events_per_token * static_cast<double>(max_output_tokens);
    return expected > 0.0 ? std::clamp(1.0 - static_cast<double>(events) / expected, 0.0, 1.0) : 1.0;
}

memory_room memory_room_of(const std::vector<target_candidate>& candidates, const placement& placement) {
    memory_room room;
    for (const auto& candidate : candidates) {
        const auto& excluded = placement.excluded;
        if (placement.now < candidate.usage.avoid_until ||
            std::find(excluded.begin(), excluded.end(), candidate.record->id) != excluded.end()) {
            continue;
        }
        ++room.engines;
        const engine_memory memory{placement.memory_capacity, candidate.usage.memory_tokens};
        room.engines_with_memory += memory_cost(memory, placement.memory_tokens) == 0.0 ? 1 : 0;
    }
    return room;
}

double max_copy_fraction(bool limits_prefills, std::int64_t rank) {
    if (!limits_prefills) {
        return k_copy_fraction;
    }
    return rank == 0 ? k_urgent_copy_fraction : k_other_copy_fraction;
}

bool is_copy_worthwhile(const copy_value& value, const memory_room& room) {
    return value.left >= k_min_part_left &&
           has_memory_at(room, is_expendable(value) ? k_scarce_part : k_short_part);
}

std::optional<std::size_t> choose_copy_to_release(const std::vector<copy_value>& copies,
                                                  const memory_room& room) {
    if (has_memory_at(room, k_short_part)) {
        return std::nullopt;
    }
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < copies.size(); ++i) {
        const bool is_less_worth =
            !chosen || copies[i].rank > copies[*chosen].rank ||
            (copies[i].rank == copies[*chosen].rank && copies[i].left < copies[*chosen].left);
        if (is_expendable(copies[i]) && is_less_worth) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace lovage
