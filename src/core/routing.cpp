#include "lovage/core/routing.h"

#include "lovage/core/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace lovage {

namespace {

// The weight of a load report halves after each such period. Reports arrive every 250 ms and are already
// outdated on arrival.
constexpr std::chrono::duration<double> k_report_half_life{1.0};
// A preferred target (same zone, cached prefix) may have this multiple of the mean load of the alternatives.
constexpr double k_preference_factor = 1.25;
// Added to that bound, so that a preferred target may have one or two more requests when all are nearly idle.
constexpr double k_preference_slack = 0.1;

using candidate_list = std::vector<std::size_t>;

// Indexes of the candidates for one choice and their loads, in the same order.
struct candidates_with_load {
    candidate_list index;
    std::vector<double> load;
};

bool is_excluded(const target_requirements& need, const node_id& node) {
    return std::find(need.excluded.begin(), need.excluded.end(), node) != need.excluded.end();
}

double mean(const std::vector<double>& values) {
    return values.empty()
               ? 0.0
               : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

bool is_within_preference_bound(double load, double reference) {
    return load <= k_preference_factor * reference + k_preference_slack;
}

// Returns the eligible targets with a free slot (for a resume also the full ones); ejected targets only if
// there are no others.
candidates_with_load find_candidates(const std::vector<target_state>& targets,
                                     const target_requirements& need, time_point now) {
    candidates_with_load not_ejected;
    candidates_with_load ejected;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!is_eligible(targets[i], need) || is_excluded(need, targets[i].node)) {
            continue;
        }
        const double load = target_load(targets[i], now);
        if (load >= 1.0 && !need.is_resume) {
            continue;
        }
        auto& group = is_ejected(targets[i].ejection, now) ? ejected : not_ejected;
        group.index.push_back(i);
        group.load.push_back(load);
    }
    return not_ejected.index.empty() ? ejected : not_ejected;
}

candidates_with_load prefer_zone(const std::vector<target_state>& targets, candidates_with_load all,
                                 const std::string& zone) {
    candidates_with_load local;
    std::vector<double> remote_load;
    for (std::size_t i = 0; i < all.index.size(); ++i) {
        if (targets[all.index[i]].zone == zone) {
            local.index.push_back(all.index[i]);
            local.load.push_back(all.load[i]);
        } else {
            remote_load.push_back(all.load[i]);
        }
    }
    const bool prefers_local =
        !local.index.empty() &&
        (remote_load.empty() || is_within_preference_bound(mean(local.load), mean(remote_load)));
    return prefers_local ? local : all;
}

std::optional<std::size_t> find_prefix_target(const std::vector<target_state>& targets,
                                              const candidates_with_load& candidates, std::uint64_t prefix) {
    std::size_t best = 0;
    std::uint64_t best_rank = 0;
    for (std::size_t i = 0; i < candidates.index.size(); ++i) {
        const std::uint64_t rank = rendezvous_rank(targets[candidates.index[i]].node, prefix);
        if (i == 0 || rank > best_rank) {
            best = i;
            best_rank = rank;
        }
    }
    return is_within_preference_bound(candidates.load[best], mean(candidates.load))
               ? std::optional(candidates.index[best])
               : std::nullopt;
}

std::size_t choose_of_two(const std::vector<target_state>& targets, const target_requirements& need,
                          const routing_context& context, const candidates_with_load& all,
                          std::mt19937_64& random) {
    const candidates_with_load candidates = prefer_zone(targets, all, context.zone);
    if (need.prefix != 0) {
        if (const auto prefix_target = find_prefix_target(targets, candidates, need.prefix)) {
            return *prefix_target;
        }
    }
    std::uniform_int_distribution<std::size_t> random_index(0, candidates.index.size() - 1);
    const std::size_t first = random_index(random);
    const std::size_t second = random_index(random);
    return candidates.index[candidates.load[second] < candidates.load[first] ? second : first];
}

std::size_t choose_round_robin(const std::vector<target_state>& /*targets*/,
                               const target_requirements& /*need*/, const routing_context& context,
                               const candidates_with_load& all, std::mt19937_64& /*random*/) {
    return all.index[context.sequence % all.index.size()];
}

std::size_t choose_least_reported(const std::vector<target_state>& targets,
                                  const target_requirements& /*need*/, const routing_context& /*context*/,
                                  const candidates_with_load& all, std::mt19937_64& /*random*/) {
    return *std::min_element(all.index.begin(), all.index.end(), [&](std::size_t a, std::size_t b) {
        const auto reported_requests = [&](std::size_t i) {
            return targets[i].report.running + targets[i].report.queued;
        };
        return reported_requests(a) < reported_requests(b);
    });
}

using choice_function = std::size_t (*)(const std::vector<target_state>&, const target_requirements&,
                                        const routing_context&, const candidates_with_load&,
                                        std::mt19937_64&);

constexpr std::array<choice_function, k_routing_policy_count> k_choice_functions{
    choose_of_two, choose_round_robin, choose_least_reported};

} // namespace

std::uint64_t prefix_hash(const std::string& prompt) {
    return hash_bytes(std::string_view(prompt).substr(0, k_prefix_bytes));
}

bool is_eligible(const target_state& target, const target_requirements& need) {
    if (!target.connected || target.leaving || target.report.draining || !target.report.engine_up) {
        return false;
    }
    return std::any_of(target.report.loaded.begin(), target.report.loaded.end(),
                       [&need](const loaded_version& loaded) {
                           return loaded.model == need.model && loaded.version == need.version &&
                                  loaded.adapter == need.adapter;
                       });
}

double target_load(const target_state& target, time_point now) {
    const std::uint32_t reported_requests = target.report.running + target.report.queued;
    const std::uint32_t in_flight_elsewhere =
        reported_requests - std::min(reported_requests, target.in_flight_at_report);
    const std::chrono::duration<double> age =
        (now - target.reported_at) + std::chrono::duration<double, std::milli>(target.report.age_ms);
    const double weight = std::exp2(-age.count() / k_report_half_life.count());
    const double busy_slots =
        static_cast<double>(target.in_flight) + weight * static_cast<double>(in_flight_elsewhere);
    return busy_slots / static_cast<double>(std::max(target.report.slots, 1U));
}

std::optional<std::size_t> choose_target(const std::vector<target_state>& targets,
                                         const target_requirements& need, const routing_context& context,
                                         std::mt19937_64& random) {
    const candidates_with_load candidates = find_candidates(targets, need, context.now);
    if (candidates.index.empty()) {
        return std::nullopt;
    }
    const auto choose = k_choice_functions.at(static_cast<std::size_t>(context.policy));
    return choose(targets, need, context, candidates, random);
}

} // namespace lovage
