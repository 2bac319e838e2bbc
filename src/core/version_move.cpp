#include "lovage/core/version_move.h"

#include "lovage/core/store_revision.h"

#include "lovage/core/rollout.h"

#include <algorithm>

namespace lovage {

namespace {

// Number of requests that should be evaluated in the canary, and the fraction of the allowed requests that it
// may use. The rest is for the load step and for the requests between the decision to land and the deadline.
constexpr double k_canary_requests_goal = 40.0;
constexpr double k_max_canary_fraction = 0.35;
// Load of a canary target relative to the load of each target after the landing. It is higher because some
// defects appear only under load.
constexpr double k_load_factor = 1.5;
// Load step: before the decision, one in k_load_targets targets serves its share at that load for
// k_load_time. A defect that makes a fifth of the requests fail is detected within 2 s.
constexpr std::uint32_t k_load_targets = 8;
constexpr milliseconds k_load_time{1'500};
// Fraction of the allowed requests that may be planned for. The margin is needed because processes learn of a
// step at different times.
constexpr double k_max_planned_fraction = 0.95;
// A move that would need more than this fraction of the allowed requests is reverted. The margin above 1
// covers the request rate, which is known to within a fifth.
constexpr double k_max_needed_fraction = 1.2;
// Requests sent per request evaluated; some are still in flight.
constexpr double k_sent_factor = 1.05;
// Time for all processes to learn of a step, which they batch with other changes; and the time to drain the
// other targets as a multiple of the mean request duration.
constexpr milliseconds k_step_propagation_time{1'400};
constexpr double k_drain_factor = 1.25;
// The landing is reported to the operators this long before the deadline, since a process may have seen the
// order a few hundred milliseconds after it was accepted.
constexpr milliseconds k_landing_lead_time{1'000};
constexpr double k_min_move_share = 0.02;
constexpr double k_max_move_share = 0.5;
// Share of the canary while the request rate of the service is unknown.
constexpr double k_unknown_rate_share = 0.1;
// Time for which the request rate is measured before the version gets requests, and its upper bound as a
// fraction of the duration of the move.
constexpr milliseconds k_rate_measure_time{1'500};
constexpr double k_max_rate_measure_fraction = 0.15;
// A version may have this many times the defect rate of the baseline, plus this fraction of its requests.
// With 40 requests, a defect of one request in four is detected in nine of ten moves.
constexpr double k_tolerated_factor = 1.5;
constexpr double k_tolerated_fraction = 0.1;
// A single defect is no evidence.
constexpr double k_tolerated_defects = 1.0;

bool exceeds_tolerance(const evidence_counts& counts, const evidence_counts& baseline) {
    const auto requests = static_cast<double>(counts.requests);
    const auto baseline_requests = static_cast<double>(std::max<std::uint64_t>(baseline.requests, 1));
    const auto exceeds = [&](std::uint64_t defects, std::uint64_t baseline_defects) {
        const double baseline_rate = static_cast<double>(baseline_defects) / baseline_requests;
        return static_cast<double>(defects) >
               requests * (k_tolerated_factor * baseline_rate + k_tolerated_fraction) + k_tolerated_defects;
    };
    return exceeds(counts.failures, baseline.failures) ||
           exceeds(counts.slow_first_tokens, baseline.slow_first_tokens) ||
           exceeds(counts.slow_gaps, baseline.slow_gaps);
}

milliseconds fraction_of_duration(const rollout_order& order, double fraction) {
    return milliseconds(static_cast<std::int64_t>(fraction * order.duration_s * 1'000.0));
}

double max_bad_requests(const version_move_input& input) {
    const double seconds = std::chrono::duration<double>(input.elapsed + input.time_left).count();
    return input.limits.bad_share * input.requests_per_s * seconds + input.limits.bad_fixed;
}

// Time that must be left until the deadline when the version starts to get all new requests.
milliseconds handover_time(const version_move_input& input) {
    const auto draining = static_cast<double>(input.request_time.count()) * k_drain_factor;
    return k_step_propagation_time + milliseconds(static_cast<std::int64_t>(draining));
}

// Returns the share of requests in the load step.
double load_share(const version_move_input& input) {
    const auto targets = std::max(input.targets, 1U);
    const auto loaded = std::max(targets / k_load_targets, 1U);
    const double share = k_load_factor * static_cast<double>(loaded) / static_cast<double>(targets);
    return std::min(share, k_max_move_share);
}

bool is_loaded(const version_move_input& input) {
    return input.record->share >= load_share(input);
}

// Returns the requests that the version will have got by the deadline if it lands after `evaluated`
// requests, as a fraction of the allowed ones. All of them count, because a defect may appear only after the
// decision to land.
double landing_request_fraction(const version_move_input& input, std::uint64_t evaluated) {
    const auto requests_in = [&input](milliseconds time) {
        return input.requests_per_s * std::chrono::duration<double>(time).count();
    };
    const double sent = k_sent_factor * static_cast<double>(evaluated);
    const double loading = is_loaded(input) ? 0.0 : load_share(input) * requests_in(k_load_time);
    return (sent + loading + requests_in(handover_time(input))) / std::max(max_bad_requests(input), 1.0);
}

bool may_land(const version_move_input& input) {
    return landing_request_fraction(input, input.evaluated_requests) <= k_max_planned_fraction;
}

// Returns whether the version cannot land within the limits, so that it should get no requests at all.
bool cannot_land(const version_move_input& input) {
    return landing_request_fraction(input, std::max(input.evaluated_requests, k_minimum_requests)) >
           k_max_needed_fraction;
}

double canary_share(const version_move_input& input) {
    if (input.requests_per_s <= 0.0) {
        return k_unknown_rate_share;
    }
    const double wanted = std::min(k_canary_requests_goal, k_max_canary_fraction * max_bad_requests(input));
    const auto evaluation_time =
        std::max(input.time_left - handover_time(input) - k_load_time, input.time_left / 2);
    const double expected = input.requests_per_s * std::chrono::duration<double>(evaluation_time).count();
    return std::clamp(wanted / std::max(expected, 1.0), k_min_move_share, k_max_move_share);
}

bool is_rate_known(const version_move_input& input) {
    return input.elapsed >=
           std::min(k_rate_measure_time, fraction_of_duration(*input.order, k_max_rate_measure_fraction));
}

move_record next_record(const version_move_input& input, move_phase phase, double share, std::string reason) {
    move_record record;
    record.id = move_id(*input.order);
    record.model = input.order->service;
    record.to = input.order->version;
    record.phase = phase;
    record.share = share;
    record.deadline = input.record ? input.record->deadline : input.wall + input.time_left;
    record.reason = std::move(reason);
    return record;
}

std::string describe(const version_move_input& input) {
    return std::to_string(input.evaluated_requests) + " requests judged, suspicion " +
           std::to_string(input.defect_score) +
           (input.has_excess_defects ? ", more defects than usual" : "") +
           (!input.record || may_land(input)
                ? ""
                : ", too many requests until the deadline for a version that may be bad");
}

std::optional<move_record> plan_canary(const version_move_input& input) {
    const bool has_passed = input.evaluated_requests >= k_minimum_requests &&
                            input.defect_score < k_max_defect_score && !input.has_excess_defects;
    if (!has_passed || !may_land(input)) {
        return std::nullopt;
    }
    if (!is_loaded(input)) {
        return input.time_left <= handover_time(input) + k_load_time
                   ? std::optional<move_record>(
                         next_record(input, move_phase::canary, load_share(input), "load step"))
                   : std::nullopt;
    }
    return input.time_left <= handover_time(input)
               ? std::optional<move_record>(next_record(input, move_phase::growing, 1.0, describe(input)))
               : std::nullopt;
}

} // namespace

bool has_excess_defects(const evidence_table& evidence, const std::string& service,
                        const std::string& version) {
    evidence_counts all_new;
    evidence_counts all_baseline;
    for (const auto& [key, counts] : evidence.totals) {
        if (key.model != service || key.version != version) {
            continue;
        }
        const auto found = evidence.totals.find({service, "", key.route});
        const auto baseline = found != evidence.totals.end() ? found->second : evidence_counts{};
        if (exceeds_tolerance(counts, baseline)) {
            return true;
        }
        all_new = all_new + counts;
        all_baseline = all_baseline + baseline;
    }
    return exceeds_tolerance(all_new, all_baseline);
}

std::string move_id(const rollout_order& order) {
    // A copy from which the store comes back holds the order under the same number.
    return order.service + "@" + std::to_string(number_of(order.revision));
}

std::optional<move_record> plan_version_move(const version_move_input& input) {
    if (input.record && is_final(input.record->phase)) {
        return std::nullopt;
    }
    if (input.is_vetoed) {
        return next_record(input, move_phase::reverted, 0.0, input.veto_reason);
    }
    const bool is_growing = input.record && input.record->phase == move_phase::growing;
    if (input.time_left <= (is_growing ? milliseconds(0) : k_landing_lead_time)) {
        return next_record(input, move_phase::reverted, 0.0, "not landed in time, " + describe(input));
    }
    if (!input.record) {
        return next_record(input, move_phase::loading, 0.0, "accepted");
    }
    const bool is_evaluated =
        input.record->phase == move_phase::loading || input.record->phase == move_phase::canary;
    if (is_evaluated && is_rate_known(input) && cannot_land(input)) {
        return next_record(input, move_phase::reverted, 0.0,
                           "cannot land within the limits, " + describe(input));
    }
    switch (input.record->phase) {
    case move_phase::loading:
        return input.targets > 0 && is_rate_known(input)
                   ? std::optional<move_record>(
                         next_record(input, move_phase::canary, canary_share(input), "targets are ready"))
                   : std::nullopt;
    case move_phase::canary:
        return plan_canary(input);
    case move_phase::growing:
        return input.time_left <= k_landing_lead_time
                   ? std::optional<move_record>(
                         next_record(input, move_phase::landed, 1.0, input.record->reason))
                   : std::nullopt;
    case move_phase::landed:
    case move_phase::reverted:
        break;
    }
    return std::nullopt;
}

double effective_share(const std::optional<move_record>& record, bool is_vetoed, milliseconds time_left) {
    if (!record || is_vetoed || record->phase == move_phase::reverted) {
        return 0.0;
    }
    if (record->phase != move_phase::landed && time_left <= milliseconds(0)) {
        return 0.0;
    }
    return record->share;
}

std::uint32_t count_canaries(double share, std::uint32_t targets) {
    const auto loaded =
        static_cast<std::uint32_t>(share * static_cast<double>(targets) / k_load_factor + 1e-9);
    return std::min(targets, std::max(loaded, 1U));
}

} // namespace lovage
