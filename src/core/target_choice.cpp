#include "lovage/core/target_choice.h"

#include <algorithm>
#include <array>

namespace lovage {

namespace {

// A report counts in full at first and for nothing after this time.
constexpr milliseconds k_report_life{2'000};
// A prompt that is being read slows the target's other generations several times over.
constexpr double k_reading_cost = 1.5;
// A copy only takes memory until it is used.
constexpr double k_copy_cost = 0.25;
// Links between zones lose packets at times, which delays a stream's events beyond its objective; a queue of
// more than one request costs more.
constexpr double k_other_zone_cost = 1.2;
constexpr double k_avoided_cost = 1'000.0;
// A few requests more are better than a target that has probably gone with its neighbours.
constexpr double k_troubled_zone_cost = 8.0;
constexpr double k_avoided_zone_cost = 100.0;
// How long a target is avoided after the first failure of each kind. One that nothing listens at restarts
// within a few seconds, and then registers anew; one that was replaced never comes back under its id.
constexpr std::array<milliseconds, k_target_trouble_count> k_avoidances{
    milliseconds(400), milliseconds(1'500), milliseconds(1'500), milliseconds(10'000)};
// Doubling stops here.
constexpr milliseconds k_longest_avoidance{10'000};
constexpr std::uint32_t k_most_doublings = 5;
// Costs that differ by less are taken as equal.
constexpr double k_same_cost = 0.25;

// Extra load that is accepted to keep a prompt where it is looked for again; the choice among the preferred
// targets levels the load of most requests.
constexpr double k_preferred_gain = 2.0;

double foreign_load(const target_usage& usage, time_point now) {
    const auto age = now - usage.reported_at;
    if (usage.reported_at == time_point{} || age >= k_report_life) {
        return 0.0;
    }
    const double left =
        1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(k_report_life);
    return usage.foreign * left;
}

std::optional<std::size_t> choose_cheapest(const std::vector<double>& costs, std::mt19937_64& random) {
    if (costs.empty()) {
        return std::nullopt;
    }
    const double best = *std::min_element(costs.begin(), costs.end());
    std::vector<std::size_t> near_best;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] < best + k_same_cost) {
            near_best.push_back(i);
        }
    }
    return near_best[std::uniform_int_distribution<std::size_t>(0, near_best.size() - 1)(random)];
}

bool is_excluded(const target_candidate& candidate, const placement& want) {
    return std::find(want.excluded.begin(), want.excluded.end(), candidate.record->id) != want.excluded.end();
}

// Costs of the candidates that are not excluded, with their indexes.
template <class Cost>
std::optional<std::size_t> choose_by(const std::vector<target_candidate>& candidates, const placement& want,
                                     Cost cost, std::mt19937_64& random) {
    std::vector<std::size_t> indexes;
    std::vector<double> costs;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!is_excluded(candidates[i], want)) {
            indexes.push_back(i);
            costs.push_back(cost(candidates[i]));
        }
    }
    const auto best = choose_cheapest(costs, random);
    return best ? std::optional<std::size_t>(indexes[*best]) : std::nullopt;
}

} // namespace

double placement_cost(const target_candidate& candidate, const placement& want) {
    const auto& usage = candidate.usage;
    double cost = usage.in_flight + foreign_load(usage, want.now) + k_copy_cost * usage.copies;
    if (want.has_prompt) {
        cost += k_reading_cost * usage.waiting_first;
    }
    if (candidate.record->zone != want.zone) {
        cost += k_other_zone_cost;
    }
    const auto& troubled = want.troubled_zones;
    if (std::find(troubled.begin(), troubled.end(), candidate.record->zone) != troubled.end()) {
        cost += k_troubled_zone_cost;
    }
    if (want.now < usage.avoid_until) {
        cost += k_avoided_cost;
    }
    const auto& preferred = want.preferred;
    if (std::find(preferred.begin(), preferred.end(), candidate.record->id) != preferred.end()) {
        cost -= k_preferred_gain;
    }
    return cost;
}

std::optional<std::size_t> choose_run(const std::vector<target_candidate>& candidates, const placement& want,
                                      std::mt19937_64& random) {
    return choose_by(
        candidates, want, [&want](const auto& candidate) { return placement_cost(candidate, want); }, random);
}

std::optional<std::size_t> choose_copy(const std::vector<target_candidate>& candidates, const placement& want,
                                       std::mt19937_64& random) {
    const auto cost = [&want](const target_candidate& candidate) {
        const bool same_zone = candidate.record->zone == want.avoided_zone;
        // Copies gather where they are placed, so they weigh as much as runs among themselves.
        return placement_cost(candidate, want) + candidate.usage.copies +
               (same_zone ? k_avoided_zone_cost : 0.0);
    };
    return choose_by(candidates, want, cost, random);
}

void record_target_failure(target_usage& usage, target_trouble trouble, time_point now) {
    const auto doublings = std::min(usage.failures_in_row, k_most_doublings);
    const auto first = k_avoidances.at(static_cast<std::size_t>(trouble));
    const auto pause = std::min(first * (1U << doublings), k_longest_avoidance);
    usage.avoid_until = std::max<time_point>(usage.avoid_until, now + pause);
    ++usage.failures_in_row;
}

void record_target_success(target_usage& usage) {
    usage.failures_in_row = 0;
    usage.avoid_until = {};
}

void record_target_load(target_usage& usage, std::uint32_t busy, time_point now) {
    usage.foreign = busy > usage.in_flight ? busy - usage.in_flight : 0;
    usage.reported_at = now;
}

} // namespace lovage
