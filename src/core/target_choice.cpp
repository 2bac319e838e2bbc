#include "lovage/core/target_choice.h"

#include "lovage/core/engine_memory.h"

#include <algorithm>
#include <array>

namespace lovage {

namespace {

// Costs are in units of the load of one running request.

// The weight of a load report falls linearly to 0 over this time.
constexpr milliseconds k_max_report_age{2'000};
// Cost of each prefill in progress, which slows the target's other generations several times over.
constexpr double k_prefill_cost = 1.5;
// The same where prefills are limited: there is always an engine without one, and each of two prompts at one
// engine takes twice as long.
constexpr double k_limited_prefill_cost = 8.0;
// Cost of a standby copy, which only takes memory until it is used.
constexpr double k_copy_cost = 0.25;
// Links between zones lose packets at times, which delays a stream's events beyond its objective. Still,
// waiting behind more than one other request in the same zone costs more.
constexpr double k_other_zone_cost = 1.2;
constexpr double k_backoff_cost = 1'000.0;
// A target with a few more requests is better than one in a zone that has probably failed as a whole.
constexpr double k_failing_zone_cost = 8.0;
constexpr double k_avoided_zone_cost = 100.0;
// Bounds of the cost of the requests at a target where the performance is learned. Above the first one it
// approaches the second one, which no load exceeds: a target in its backoff or in an avoided zone must not be
// chosen because the others are full.
constexpr double k_exact_load_cost = 50.0;
constexpr double k_max_load_cost = 90.0;
// Backoff after the first failure of each kind, in the order of the enum. An unreachable target
// restarts within a few seconds and then registers anew; a replaced one never comes back under its id.
constexpr std::array<milliseconds, k_target_failure_kind_count> k_initial_backoffs{
    milliseconds(400), milliseconds(1'500), milliseconds(1'500), milliseconds(10'000)};
// Bounds of the exponential backoff.
constexpr milliseconds k_max_backoff{10'000};
constexpr std::uint32_t k_max_doublings = 5;
// Costs that differ by less count as equal.
constexpr double k_cost_tolerance = 0.25;

// Extra load that is accepted for prefix cache affinity. For most requests, the choice among the preferred
// targets already balances the load.
constexpr double k_affinity_bonus = 2.0;

double load_from_others(const target_usage& usage, time_point now) {
    const auto age = now - usage.reported_at;
    if (usage.reported_at == time_point{} || age >= k_max_report_age) {
        return 0.0;
    }
    const double weight =
        1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(k_max_report_age);
    return usage.peer_requests * weight;
}

std::optional<std::size_t> choose_cheapest(const std::vector<double>& costs, std::mt19937_64& random) {
    if (costs.empty()) {
        return std::nullopt;
    }
    const double best = *std::min_element(costs.begin(), costs.end());
    std::vector<std::size_t> cheapest;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] < best + k_cost_tolerance) {
            cheapest.push_back(i);
        }
    }
    return cheapest[std::uniform_int_distribution<std::size_t>(0, cheapest.size() - 1)(random)];
}

double bounded_load_cost(double cost) {
    const double excess = cost - k_exact_load_cost;
    const double room = k_max_load_cost - k_exact_load_cost;
    return excess > 0.0 ? k_exact_load_cost + room * excess / (excess + room) : cost;
}

// Returns the cost of the requests at a target. Where the performance is learned, it is the time that they
// and the new request take, above that of one request at a target with the usual times.
double load_cost(const target_candidate& candidate, const placement& placement) {
    const double load = candidate.usage.in_flight + load_from_others(candidate.usage, placement.now);
    if (!candidate.times) {
        return load;
    }
    const auto& times = *candidate.times;
    const double time = placement.reads_prompt ? (times.prefill + times.generation) / 2.0 : times.plain;
    double cost = (load + 1.0) * time - 1.0;
    if (candidate.concurrency_limit) {
        // A request beyond the limit delays all those at the target by as much as it takes itself.
        cost += std::max(load + 1.0 - *candidate.concurrency_limit, 0.0) * (load + 1.0) * time;
    }
    return bounded_load_cost(cost);
}

engine_memory memory_of(const target_candidate& candidate, const placement& placement) {
    return {placement.memory_capacity, candidate.usage.memory_tokens};
}

bool is_excluded(const target_candidate& candidate, const placement& placement) {
    return std::find(placement.excluded.begin(), placement.excluded.end(), candidate.record->id) !=
           placement.excluded.end();
}

// Returns the index of the candidate with the lowest `cost` among those that are not excluded.
template <class Cost>
std::optional<std::size_t> choose_lowest_cost(const std::vector<target_candidate>& candidates,
                                              const placement& placement, Cost cost,
                                              std::mt19937_64& random) {
    std::vector<std::size_t> indexes;
    std::vector<double> costs;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!is_excluded(candidates[i], placement)) {
            indexes.push_back(i);
            costs.push_back(cost(candidates[i]));
        }
    }
    const auto best = choose_cheapest(costs, random);
    return best ? std::optional<std::size_t>(indexes[*best]) : std::nullopt;
}

} // namespace

bool is_usable(const target_candidate& candidate, const placement& placement) {
    return placement.now >= candidate.usage.avoid_until && !is_excluded(candidate, placement);
}

double placement_cost(const target_candidate& candidate, const placement& placement) {
    const auto& usage = candidate.usage;
    double cost = load_cost(candidate, placement) + k_copy_cost * usage.copies;
    cost += memory_cost(memory_of(candidate, placement), placement.memory_tokens);
    if (placement.reads_prompt) {
        cost += (placement.limits_prefills ? k_limited_prefill_cost : k_prefill_cost) *
                usage.awaiting_first_event_count * (candidate.times ? candidate.times->prefill : 1.0);
    }
    if (candidate.record->zone != placement.zone) {
        cost += k_other_zone_cost;
    }
    const auto& failing = placement.failing_zones;
    if (std::find(failing.begin(), failing.end(), candidate.record->zone) != failing.end()) {
        cost += k_failing_zone_cost;
    }
    if (placement.now < usage.avoid_until) {
        cost += k_backoff_cost;
    }
    const auto& preferred = placement.preferred;
    if (std::find(preferred.begin(), preferred.end(), candidate.record->id) != preferred.end()) {
        cost -= k_affinity_bonus;
    }
    return cost;
}

std::optional<std::size_t> choose_target_for_run(const std::vector<target_candidate>& candidates,
                                                 const placement& placement, std::mt19937_64& random) {
    return choose_lowest_cost(
        candidates, placement,
        [&placement](const auto& candidate) { return placement_cost(candidate, placement); }, random);
}

std::optional<std::size_t> choose_target_for_copy(const std::vector<target_candidate>& candidates,
                                                  const placement& placement, std::mt19937_64& random) {
    const auto cost = [&placement](const target_candidate& candidate) {
        const bool same_zone = candidate.record->zone == placement.avoided_zone;
        // Copies accumulate at their targets, so among each other they count as much as runs.
        return placement_cost(candidate, placement) + candidate.usage.copies +
               (same_zone ? k_avoided_zone_cost : 0.0);
    };
    std::vector<target_candidate> roomy;
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (has_room_for_copy(memory_of(candidates[i], placement), placement.memory_tokens,
                              placement.copy_fraction)) {
            roomy.push_back(candidates[i]);
            indexes.push_back(i);
        }
    }
    const auto chosen = choose_lowest_cost(roomy, placement, cost, random);
    return chosen ? std::optional<std::size_t>(indexes[*chosen]) : std::nullopt;
}

bool has_target_with_memory(const std::vector<target_candidate>& candidates, const placement& placement) {
    return std::any_of(candidates.begin(), candidates.end(), [&placement](const auto& candidate) {
        return is_usable(candidate, placement) &&
               memory_cost(memory_of(candidate, placement), placement.memory_tokens) == 0.0;
    });
}

void record_target_failure(target_usage& usage, target_failure_kind failure, time_point now) {
    const auto doublings = std::min(usage.failures_in_row, k_max_doublings);
    const auto initial_backoff = k_initial_backoffs.at(static_cast<std::size_t>(failure));
    const auto backoff = std::min(initial_backoff * (1U << doublings), k_max_backoff);
    usage.avoid_until = std::max<time_point>(usage.avoid_until, now + backoff);
    ++usage.failures_in_row;
}

void record_target_success(target_usage& usage) {
    usage.failures_in_row = 0;
    usage.has_late_call = false;
    usage.avoid_until = {};
}

void record_target_load(target_usage& usage, std::uint32_t reported_requests, time_point now) {
    usage.peer_requests = reported_requests > usage.in_flight ? reported_requests - usage.in_flight : 0;
    usage.reported_at = now;
}

} // namespace lovage
