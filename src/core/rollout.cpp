#include "lovage/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovage {

namespace {

// Parameters of the tests of one signal. The defect rate of the old version is estimated with a prior rate
// `prior` that weighs k_prior_weight requests. A rate of up to `tolerated` times the estimate is acceptable.
// The moderate defect is the larger of `factor` times the tolerated rate and the tolerated rate plus
// `increase`; the gross defect is a rate of at least `gross`.
struct signal_rule {
    double prior;
    double tolerated;
    double factor;
    double increase;
    double gross;
};

// Indexed by evidence_signal. 5 in 100 requests may miss their latency objective, so slow requests are
// common, and a new version starts with cold caches: a test without tolerance vetoed a fifth of the versions
// whose slow first tokens were only twice as frequent. Failures are rare, and an increase by 4 in 100
// matters.
constexpr std::array<signal_rule, k_evidence_signal_count> k_signal_rules{{
    {0.005, 1.0, 3.0, 0.04, 0.5},
    {0.05, 2.0, 1.5, 0.30, 0.7},
    {0.05, 2.0, 1.5, 0.30, 0.7},
}};
constexpr double k_prior_weight = 20.0;
// Estimates are raised by one standard error, since an estimate from few requests may be below the true rate.
constexpr double k_standard_errors = 1.0;
// The weight of a request halves after about 20 s.
constexpr double k_decay_per_second = 0.966;
constexpr double k_max_defect_rate = 0.95;
constexpr std::size_t k_max_routes = 1'000;

std::uint64_t defects_of(const evidence_counts& counts, evidence_signal signal) {
    const std::array<std::uint64_t, k_evidence_signal_count> values{counts.failures, counts.slow_first_tokens,
                                                                    counts.slow_gaps};
    // A request with several slow gaps counts once.
    return std::min(values.at(static_cast<std::size_t>(signal)), counts.requests);
}

double estimate_rate(double requests, double defects, double prior) {
    const double trials = requests + k_prior_weight;
    const double rate = (defects + prior * k_prior_weight) / trials;
    return rate + k_standard_errors * std::sqrt(rate * (1.0 - rate) / trials);
}

// Adds the log-likelihood ratio of `defects` in `requests`, for the rate `rate` against `base`, to the
// statistic. At most `limit` is added.
void add_to_test(double& statistic, double requests, double defects, double base, double rate, double limit) {
    if (rate <= base) {
        return;
    }
    const double ratio =
        defects * std::log(rate / base) + (requests - defects) * std::log((1.0 - rate) / (1.0 - base));
    statistic = std::max(0.0, statistic + std::min(ratio, limit));
}

struct round_context {
    double threshold = 0.0;
    /// Largest addition to a test in one round.
    double limit = 0.0;
    /// Weight that counts of earlier rounds keep.
    double decay = 1.0;
    std::string route;
};

// Evaluates the new requests of one route. Returns the largest statistic as a fraction of the threshold, and
// the defect if the threshold was reached.
std::pair<double, std::optional<defect>> evaluate_route(route_evaluation& evaluation,
                                                        const evidence_counts& new_totals,
                                                        const evidence_counts& old_totals,
                                                        const evidence_counts& old_history,
                                                        const round_context& context) {
    const evidence_counts added_new = new_totals - evaluation.evaluated_new;
    const evidence_counts added_old = old_totals - evaluation.evaluated_old;
    evaluation.evaluated_new = new_totals;
    evaluation.evaluated_old = old_totals;
    evaluation.recent_requests =
        evaluation.recent_requests * context.decay + static_cast<double>(added_old.requests);
    const evidence_counts old_all = old_totals + old_history;

    double largest = 0.0;
    std::optional<defect> found;
    for (std::size_t i = 0; i < k_evidence_signal_count; ++i) {
        const auto signal = static_cast<evidence_signal>(i);
        const signal_rule& rule = k_signal_rules.at(i);
        double& recent = evaluation.recent_defects.at(i);
        recent = recent * context.decay + static_cast<double>(defects_of(added_old, signal));
        const double base =
            std::min(k_max_defect_rate,
                     rule.tolerated *
                         std::max(estimate_rate(static_cast<double>(old_all.requests),
                                                static_cast<double>(defects_of(old_all, signal)), rule.prior),
                                  estimate_rate(evaluation.recent_requests, recent, rule.prior)));
        const double moderate =
            std::min(k_max_defect_rate, std::max(rule.factor * base, base + rule.increase));
        const auto requests = static_cast<double>(added_new.requests);
        const auto defects = static_cast<double>(defects_of(added_new, signal));
        sequential_test& test = evaluation.tests.at(i);
        add_to_test(test.moderate, requests, defects, base, moderate, context.limit);
        add_to_test(test.gross, requests, defects, base, std::max(moderate, rule.gross), context.limit);
        const double fraction = std::max(test.moderate, test.gross) / context.threshold;
        if (fraction >= 1.0 && fraction > largest) {
            found = defect{context.route, signal,
                           std::string(name_of(k_evidence_signal_names, signal)) + " on " +
                               (context.route.empty() ? "all routes" : context.route) + ": " +
                               std::to_string(defects_of(new_totals, signal)) + " of " +
                               std::to_string(new_totals.requests) + " requests"};
        }
        largest = std::max(largest, fraction);
    }
    return {largest, found};
}

std::map<std::string, evidence_counts> counts_by_route(const std::map<evidence_key, evidence_counts>& table,
                                                       const std::string& model, const std::string& version) {
    std::map<std::string, evidence_counts> routes;
    for (auto item = table.lower_bound({model, version, {}}); item != table.end(); ++item) {
        if (item->first.model != model || item->first.version != version) {
            break;
        }
        routes[item->first.route] = item->second;
    }
    return routes;
}

evidence_counts sum_of(const std::map<std::string, evidence_counts>& routes) {
    evidence_counts sum;
    for (const auto& [route, counts] : routes) {
        sum = sum + counts;
    }
    return sum;
}

evidence_counts find_counts(const std::map<std::string, evidence_counts>& routes, const std::string& route) {
    const auto found = routes.find(route);
    return found == routes.end() ? evidence_counts{} : found->second;
}

evidence_counts totals_of(const evidence_table& table, const move_config& move) {
    return sum_of(counts_by_route(table.totals, move.model, move.to));
}

move_record next_record(const rollout_input& input, move_phase phase, double share, std::string reason) {
    move_record record;
    record.id = input.move->id;
    record.model = input.move->model;
    record.from = input.move->from;
    record.to = input.move->to;
    record.phase = phase;
    record.share = share;
    record.deadline = input.move->deadline;
    record.reason = std::move(reason);
    return record;
}

// Returns whether enough targets have the new version loaded to serve `share` of the requests without
// overload.
bool has_capacity(const move_capacity& capacity, double share) {
    const std::uint32_t full = std::max({capacity.wanted, capacity.loaded_from, 1U});
    const auto needed = static_cast<std::uint32_t>(std::ceil(share * static_cast<double>(full) - 1e-9));
    return capacity.loaded_to >= std::max(needed, 1U);
}

bool has_passed(const rollout_input& input, std::uint64_t required_requests, bool is_late) {
    if (input.defect_score >= k_max_defect_score) {
        return false;
    }
    return input.step_requests >= required_requests ||
           (is_late && input.total_requests >= k_minimum_requests);
}

std::optional<move_record> plan_loading(const rollout_input& input) {
    if (!has_capacity(input.capacity, k_canary_share)) {
        return std::nullopt;
    }
    if (input.move->strategy == move_strategy::immediate) {
        return has_capacity(input.capacity, 1.0)
                   ? std::optional<move_record>(next_record(input, move_phase::growing, 1.0, "immediate"))
                   : std::nullopt;
    }
    return next_record(input, move_phase::canary, k_canary_share, "loaded");
}

struct step_time {
    milliseconds elapsed;
    milliseconds min_duration;
    /// Time after which k_minimum_requests are enough for the step to pass.
    milliseconds limit;
};

std::optional<move_record> plan_canary(const rollout_input& input, const step_time& time) {
    const bool is_late = time.elapsed >= time.limit;
    if (time.elapsed >= time.min_duration && has_passed(input, k_canary_requests, is_late) &&
        has_capacity(input.capacity, k_growth_shares.front())) {
        return next_record(input, move_phase::growing, k_growth_shares.front(),
                           "canary good after " + std::to_string(input.step_requests) + " requests");
    }
    if (time.elapsed >= time.limit / 2 && input.record->share < k_max_canary_share &&
        input.defect_score < k_max_defect_score) {
        return next_record(input, move_phase::canary, k_max_canary_share, "too few requests for the canary");
    }
    return std::nullopt;
}

std::optional<move_record> plan_growing(const rollout_input& input, const step_time& time) {
    if (input.move->strategy == move_strategy::immediate) {
        return next_record(input, move_phase::landed, 1.0, "immediate");
    }
    const bool is_late = time.elapsed >= time.limit;
    if (time.elapsed < time.min_duration || !has_passed(input, k_growth_requests, is_late)) {
        return std::nullopt;
    }
    const auto larger = std::find_if(k_growth_shares.begin(), k_growth_shares.end(),
                                     [&input](double share) { return share > input.record->share + 1e-6; });
    if (larger == k_growth_shares.end()) {
        return next_record(input, move_phase::landed, 1.0,
                           "good after " + std::to_string(input.total_requests) + " requests");
    }
    if (!has_capacity(input.capacity, *larger)) {
        return std::nullopt;
    }
    return next_record(input, move_phase::growing, *larger, "step good");
}

std::size_t remaining_steps(const move_record& record) {
    const auto larger = std::count_if(k_growth_shares.begin(), k_growth_shares.end(),
                                      [&record](double share) { return share > record.share + 1e-6; });
    return static_cast<std::size_t>(larger) + 1;
}

step_time step_time_of(const move_plan& plan, const rollout_input& input) {
    step_time time{};
    time.elapsed = std::chrono::duration_cast<milliseconds>(input.now - plan.step_since);
    // The canary may take half of the remaining time; the ramp-up steps divide the rest equally.
    time.limit = input.record->phase == move_phase::canary
                     ? plan.step_time_left / 2
                     : plan.step_time_left / static_cast<std::int64_t>(remaining_steps(*input.record));
    time.min_duration = std::clamp(time.limit / 4, k_min_step_time_floor, k_min_step_time_ceiling);
    return time;
}

} // namespace

std::optional<defect> evaluate_round(move_evaluation& evaluation, const evidence_table& table,
                                     const move_config& move, std::size_t evaluators,
                                     const evaluation_pace& pace, time_point now) {
    if (evaluation.has_started && now < evaluation.next_evaluation) {
        return std::nullopt;
    }
    const auto new_routes = counts_by_route(table.totals, move.model, move.to);
    const auto old_routes = counts_by_route(table.totals, move.model, move.from);
    const auto old_history = counts_by_route(table.history, move.model, move.from);
    if (!evaluation.has_started) {
        // Counts of the version from an earlier move are not evidence for this one.
        evaluation.has_started = true;
        evaluation.counts_at_start = sum_of(new_routes);
        evaluation.counts_at_step_start = evaluation.counts_at_start;
        evaluation.total.evaluated_new = evaluation.counts_at_start;
        for (const auto& [route, counts] : new_routes) {
            evaluation.routes[route].evaluated_new = counts;
        }
    }
    evaluation.next_evaluation = now + pace.round_interval;

    const evidence_counts new_total = sum_of(new_routes);
    const auto requests = static_cast<double>((new_total - evaluation.counts_at_start).requests);
    const auto tests = static_cast<double>(2 * k_evidence_signal_count * (new_routes.size() + 1));
    round_context context;
    context.threshold = std::log(tests * static_cast<double>(std::max<std::size_t>(evaluators, 1)) *
                                 (1.0 + requests / k_threshold_requests) / k_false_veto_probability);
    context.limit = pace.max_round_fraction * context.threshold;
    context.decay = std::pow(k_decay_per_second, std::chrono::duration<double>(pace.round_interval).count());
    auto [defect_score, found] =
        evaluate_route(evaluation.total, new_total, sum_of(old_routes), sum_of(old_history), context);
    for (const auto& [route, counts] : new_routes) {
        if (evaluation.routes.count(route) == 0 && evaluation.routes.size() >= k_max_routes) {
            continue;
        }
        context.route = route;
        auto [fraction, on_route] =
            evaluate_route(evaluation.routes[route], counts, find_counts(old_routes, route),
                           find_counts(old_history, route), context);
        if (on_route && (!found || fraction > defect_score)) {
            found = on_route;
        }
        defect_score = std::max(defect_score, fraction);
    }
    evaluation.defect_score = std::min(1.0, defect_score);
    return found;
}

std::uint64_t requests_in_step(const move_evaluation& evaluation, const evidence_table& table,
                               const move_config& move) {
    return (totals_of(table, move) - evaluation.counts_at_step_start).requests;
}

std::uint64_t requests_in_total(const move_evaluation& evaluation, const evidence_table& table,
                                const move_config& move) {
    return (totals_of(table, move) - evaluation.counts_at_start).requests;
}

std::optional<move_record> plan_move(move_plan& plan, const rollout_input& input) {
    if (input.record && input.record->phase == move_phase::reverted) {
        return std::nullopt;
    }
    if (input.is_vetoed) {
        return next_record(input, move_phase::reverted, 0.0, input.veto_reason);
    }
    if (input.record && input.record->phase == move_phase::landed) {
        return std::nullopt;
    }
    const milliseconds left = input.move->deadline - input.wall;
    if (left <= milliseconds{0}) {
        return next_record(input, move_phase::reverted, 0.0, "not landed by the deadline");
    }
    if (!input.record) {
        return next_record(input, move_phase::loading, 0.0, "accepted");
    }
    const milliseconds time_left = std::max(milliseconds{0}, left - k_landing_margin);
    if (!plan.has_step) {
        plan = {input.now, true, time_left};
    }
    if (time_left == milliseconds{0}) {
        // Entries that learned of the landing only after the deadline would revert the move on their own.
        return std::nullopt;
    }
    const step_time time = step_time_of(plan, input);
    switch (input.record->phase) {
    case move_phase::loading:
        return plan_loading(input);
    case move_phase::canary:
        return plan_canary(input, time);
    case move_phase::growing:
        return plan_growing(input, time);
    case move_phase::landed:
    case move_phase::reverted:
        break;
    }
    return std::nullopt;
}

bool is_final(move_phase phase) {
    return phase == move_phase::landed || phase == move_phase::reverted;
}

move_record effective_move(const move_config& move, const std::optional<move_record>& record, bool is_vetoed,
                           wall_time wall) {
    move_record effective;
    if (record) {
        effective = *record;
    } else {
        effective.id = move.id;
        effective.model = move.model;
        effective.from = move.from;
        effective.to = move.to;
    }
    effective.deadline = move.deadline;
    if (is_vetoed) {
        effective.phase = move_phase::reverted;
        effective.share = 0.0;
        effective.reason = record && record->phase == move_phase::reverted ? record->reason : "vetoed";
    } else if (!is_final(effective.phase) && wall >= move.deadline) {
        effective.phase = move_phase::reverted;
        effective.share = 0.0;
        effective.reason = "not landed by the deadline";
    }
    return effective;
}

} // namespace lovage
