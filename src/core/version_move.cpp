#include "lovage/core/version_move.h"

#include "lovage/core/rollout.h"

#include <algorithm>

namespace lovage {

namespace {

// Requests that the judgement should see, and the part of the allowed ones that it may use for them. The rest
// is for the load step and for what the version gets between the decision and the deadline.
constexpr double k_wanted_requests = 40.0;
constexpr double k_judged_part = 0.35;
// The targets that take a share have this many times the load that all have after the landing, since some
// defects show only under load.
constexpr double k_load_factor = 1.5;
// Before the decision one target in eight takes its share at that load for this long: a fifth of its requests
// that fail are seen within two seconds.
constexpr std::uint32_t k_load_targets = 8;
constexpr milliseconds k_load_time{1'500};
// Processes learn of a step at different times, so a little of what is allowed is left.
constexpr double k_used_part = 0.95;
// Beyond this part a move is given up; the rate of requests is known to a fifth.
constexpr double k_hopeless_part = 1.2;
// Requests that have been sent for each that has been judged.
constexpr double k_sent_factor = 1.05;
// Time for all processes to learn of a step, which they gather with other changes, and the time that requests
// at the other targets get to end, as a multiple of their mean.
constexpr milliseconds k_step_time{1'400};
constexpr double k_ending_factor = 1.25;
// The operators are told this long before the deadline; a process may have seen the order a few hundred
// milliseconds after it was accepted.
constexpr milliseconds k_landing_time{1'000};
constexpr double k_least_share = 0.02;
constexpr double k_largest_share = 0.5;
// The share while no request of the service has been seen.
constexpr double k_blind_share = 0.1;
// Time in which the rate of requests is measured before a version gets any, and its bound as a part of the
// move's time.
constexpr milliseconds k_rate_time{1'500};
constexpr double k_rate_part = 0.15;
// A version may have this many times the defects of the usual one, and this part of its requests beyond that:
// a defect of one request in four is seen in nine of ten moves with 40 requests.
constexpr double k_tolerated_factor = 1.5;
constexpr double k_tolerated_part = 0.1;
// One defect says nothing.
constexpr double k_tolerated_defects = 1.0;

bool is_in_excess(const evidence_counts& counts, const evidence_counts& usual) {
    const auto requests = static_cast<double>(counts.requests);
    const auto usual_requests = static_cast<double>(std::max<std::uint64_t>(usual.requests, 1));
    const auto exceeds = [&](std::uint64_t defects, std::uint64_t usual_defects) {
        const double usual_part = static_cast<double>(usual_defects) / usual_requests;
        return static_cast<double>(defects) >
               requests * (k_tolerated_factor * usual_part + k_tolerated_part) + k_tolerated_defects;
    };
    return exceeds(counts.failures, usual.failures) ||
           exceeds(counts.slow_first_tokens, usual.slow_first_tokens) ||
           exceeds(counts.slow_gaps, usual.slow_gaps);
}

milliseconds part_of_duration(const rollout_order& order, double part) {
    return milliseconds(static_cast<std::int64_t>(part * order.duration_s * 1'000.0));
}

double allowed_requests(const version_move_input& input) {
    const double seconds = std::chrono::duration<double>(input.elapsed + input.time_left).count();
    return input.limits.bad_share * input.requests_per_s * seconds + input.limits.bad_fixed;
}

// Time from the decision for a version to its deadline.
milliseconds hand_over_time(const version_move_input& input) {
    const auto ending = static_cast<double>(input.request_time.count()) * k_ending_factor;
    return k_step_time + milliseconds(static_cast<std::int64_t>(ending));
}

// Share of requests with which some targets of the version are loaded.
double load_share(const version_move_input& input) {
    const auto targets = std::max(input.targets, 1U);
    const auto loaded = std::max(targets / k_load_targets, 1U);
    const double share = k_load_factor * static_cast<double>(loaded) / static_cast<double>(targets);
    return std::min(share, k_largest_share);
}

bool is_loaded(const version_move_input& input) {
    return input.record->share >= load_share(input);
}

// Requests that the version gets until the deadline if it lands after `judged` requests, as a part of those
// that it may get. A defect may show only after the decision, so they must fit even then.
double landing_cost(const version_move_input& input, std::uint64_t judged) {
    const auto requests_in = [&input](milliseconds time) {
        return input.requests_per_s * std::chrono::duration<double>(time).count();
    };
    const double sent = k_sent_factor * static_cast<double>(judged);
    const double loading = is_loaded(input) ? 0.0 : load_share(input) * requests_in(k_load_time);
    return (sent + loading + requests_in(hand_over_time(input))) / std::max(allowed_requests(input), 1.0);
}

bool may_land(const version_move_input& input) {
    return landing_cost(input, input.judged_requests) <= k_used_part;
}

// No caller should meet a version that cannot land anyway.
bool is_hopeless(const version_move_input& input) {
    return landing_cost(input, std::max(input.judged_requests, k_minimum_requests)) > k_hopeless_part;
}

double canary_share(const version_move_input& input) {
    if (input.requests_per_s <= 0.0) {
        return k_blind_share;
    }
    const double wanted = std::min(k_wanted_requests, k_judged_part * allowed_requests(input));
    const auto judged = std::max(input.time_left - hand_over_time(input) - k_load_time, input.time_left / 2);
    const double expected = input.requests_per_s * std::chrono::duration<double>(judged).count();
    return std::clamp(wanted / std::max(expected, 1.0), k_least_share, k_largest_share);
}

bool is_rate_known(const version_move_input& input) {
    return input.elapsed >= std::min(k_rate_time, part_of_duration(*input.order, k_rate_part));
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
    return std::to_string(input.judged_requests) + " requests judged, suspicion " +
           std::to_string(input.suspicion) + (input.has_excess ? ", more defects than usual" : "") +
           (!input.record || may_land(input)
                ? ""
                : ", too many requests until the deadline for a version that may be bad");
}

std::optional<move_record> plan_canary(const version_move_input& input) {
    const bool is_good = input.judged_requests >= k_minimum_requests && input.suspicion < k_suspicion_part &&
                         !input.has_excess;
    if (!is_good || !may_land(input)) {
        return std::nullopt;
    }
    if (!is_loaded(input)) {
        return input.time_left <= hand_over_time(input) + k_load_time
                   ? std::optional<move_record>(
                         next_record(input, move_phase::canary, load_share(input), "load step"))
                   : std::nullopt;
    }
    return input.time_left <= hand_over_time(input)
               ? std::optional<move_record>(next_record(input, move_phase::growing, 1.0, describe(input)))
               : std::nullopt;
}

} // namespace

bool has_excess(const evidence_table& evidence, const std::string& service, const std::string& version) {
    evidence_counts all_new;
    evidence_counts all_usual;
    for (const auto& [key, counts] : evidence.totals) {
        if (key.model != service || key.version != version) {
            continue;
        }
        const auto found = evidence.totals.find({service, "", key.route});
        const auto usual = found != evidence.totals.end() ? found->second : evidence_counts{};
        if (is_in_excess(counts, usual)) {
            return true;
        }
        all_new = all_new + counts;
        all_usual = all_usual + usual;
    }
    return is_in_excess(all_new, all_usual);
}

std::string move_id(const rollout_order& order) {
    return order.service + "@" + std::to_string(order.revision);
}

std::optional<move_record> plan_version_move(const version_move_input& input) {
    if (input.record && is_final(input.record->phase)) {
        return std::nullopt;
    }
    if (input.is_vetoed) {
        return next_record(input, move_phase::reverted, 0.0, input.veto_reason);
    }
    const bool is_growing = input.record && input.record->phase == move_phase::growing;
    if (input.time_left <= (is_growing ? milliseconds(0) : k_landing_time)) {
        return next_record(input, move_phase::reverted, 0.0, "not landed in time, " + describe(input));
    }
    if (!input.record) {
        return next_record(input, move_phase::loading, 0.0, "accepted");
    }
    const bool is_judged =
        input.record->phase == move_phase::loading || input.record->phase == move_phase::canary;
    if (is_judged && is_rate_known(input) && is_hopeless(input)) {
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
        return input.time_left <= k_landing_time ? std::optional<move_record>(next_record(
                                                       input, move_phase::landed, 1.0, input.record->reason))
                                                 : std::nullopt;
    case move_phase::landed:
    case move_phase::reverted:
        break;
    }
    return std::nullopt;
}

double share_in_force(const std::optional<move_record>& record, bool is_vetoed, milliseconds time_left) {
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
