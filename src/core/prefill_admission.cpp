#include "lovage/core/prefill_admission.h"

#include "lovage/core/engine_memory.h"

#include <algorithm>

namespace lovage {

namespace {

// Fraction of the engines that may prefill at a time. By the engines' step times, a stream of 1,000 tokens
// lasts 6 s if engines prefill for a third of the time, 12 s at this fraction and over 20 s if they always
// prefill. At 0.6 a burst waited for so long that streams were refused.
constexpr double k_max_prefilling_fraction = 0.75;
// The same for the most urgent of several ranks. The difference, one engine in seven, covers a rank with a
// tenth of the load in a burst of twice its usual rate.
constexpr double k_max_urgent_fraction = 0.9;
// Part of that limit up to which a process starts prefills although none of its own has ended. The rest
// covers what other processes have started since their last reports.
constexpr double k_shared_fraction = 0.9;
// Weight of the newest prefill in the moving average.
constexpr double k_newest_weight = 0.1;
// Assumed before the first prefill has ended: a prompt of 8,000 tokens at 8 tokens per ms, and some queueing.
constexpr double k_default_prefill_ms = 1'200.0;
// Allowance for prompts that are longer than the mean, and for engines that are slower.
constexpr double k_slow_prefill_factor = 1.5;

} // namespace

prefill_load prefill_load_of(const std::vector<target_candidate>& candidates, const placement& placement) {
    prefill_load load;
    for (const auto& candidate : candidates) {
        if (!is_usable(candidate, placement)) {
            continue;
        }
        ++load.engines;
        load.in_progress += candidate.usage.awaiting_first_event_count;
        const engine_memory memory{placement.memory_capacity, candidate.usage.memory_tokens};
        if (candidate.usage.awaiting_first_event_count == 0 &&
            memory_cost(memory, placement.memory_tokens) == 0.0) {
            ++load.free_engines;
        }
    }
    return load;
}

bool has_room_for_prefill(const prefill_load& load, const prefill_claim& claim) {
    if (load.free_engines == 0) {
        return false;
    }
    if (claim.is_most_urgent) {
        return load.in_progress == 0 || static_cast<double>(load.in_progress) + 1.0 <=
                                            k_max_urgent_fraction * static_cast<double>(load.engines);
    }
    const double limit = k_max_prefilling_fraction * static_cast<double>(load.engines);
    const double share = limit / static_cast<double>(load.processes);
    const bool has_own_place = claim.replaces_own || static_cast<double>(load.own_in_progress) + 1.0 <= share;
    // One engine alone may always prefill.
    return load.in_progress == 0 ||
           static_cast<double>(load.in_progress) + 1.0 <= (has_own_place ? limit : k_shared_fraction * limit);
}

void record_prefill(prefill_time& time, time_point::duration taken) {
    const double taken_ms = std::chrono::duration<double, std::milli>(taken).count();
    time.mean_ms =
        time.mean_ms == 0.0 ? taken_ms : time.mean_ms + k_newest_weight * (taken_ms - time.mean_ms);
}

milliseconds expected_prefill(const prefill_time& time) {
    const double mean_ms = time.mean_ms > 0.0 ? time.mean_ms : k_default_prefill_ms;
    return milliseconds(static_cast<std::int64_t>(k_slow_prefill_factor * mean_ms));
}

milliseconds longest_start_interval(const prefill_time& time, std::size_t engines, std::size_t processes) {
    const double mean_ms = time.mean_ms > 0.0 ? time.mean_ms : k_default_prefill_ms;
    const double places = k_max_prefilling_fraction * static_cast<double>(std::max<std::size_t>(engines, 1));
    return milliseconds(static_cast<std::int64_t>(mean_ms * static_cast<double>(processes) / places) + 1);
}

milliseconds longest_prefill_wait(const prefill_time& time, milliseconds objective_left) {
    return std::max(objective_left - expected_prefill(time), milliseconds(0));
}

} // namespace lovage
