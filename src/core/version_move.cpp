#include "lovage/core/version_move.h"

#include "lovage/core/rollout.h"

#include <algorithm>
#include <cmath>

namespace lovage {

namespace {

// The version is judged for this part of the time, so that defects which show late are seen; what remains is
// for requests that end at the other targets before these are stopped.
constexpr double k_judged_part = 0.5;
constexpr double k_landing_part = 0.8;
// Requests that the judgement should see.
constexpr double k_wanted_requests = 60.0;
// Part of the allowed requests that a version gets at most if it is judged until its deadline; the rest is
// for what is under way when a defect is found, and for processes that have not heard of it.
constexpr double k_used_part = 0.8;
constexpr double k_least_share = 0.02;
constexpr double k_largest_share = 0.5;
// The share while no request of the service has been seen.
constexpr double k_blind_share = 0.1;
// Time in which the rate of requests is measured before a version gets any, and its bound as a part of the
// move's time.
constexpr milliseconds k_rate_time{1'500};
constexpr double k_rate_part = 0.15;
// Without this much time the operators and all processes would not learn of a landing before the deadline.
constexpr milliseconds k_least_time{1'000};
// A single target that crashes would leave the version without requests.
constexpr std::uint32_t k_least_canaries = 2;

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

double canary_share(const version_move_input& input) {
    if (input.requests_per_s <= 0.0) {
        return k_blind_share;
    }
    const auto requests_in = [&input](milliseconds time) {
        return input.requests_per_s * std::max(1.0, std::chrono::duration<double>(time).count());
    };
    const double in_all = requests_in(input.elapsed + input.time_left);
    const double allowed = k_used_part * (input.limits.bad_share * in_all + input.limits.bad_fixed);
    const auto judged = part_of_duration(*input.order, k_judged_part) - input.elapsed;
    const double share =
        std::min(k_wanted_requests / requests_in(judged), allowed / requests_in(input.time_left));
    return std::clamp(share, k_least_share, k_largest_share);
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

std::optional<move_record> plan_canary(const version_move_input& input) {
    const bool is_judged = input.elapsed >= part_of_duration(*input.order, k_judged_part) &&
                           input.judged_requests >= k_minimum_requests &&
                           input.suspicion < k_suspicion_part && !input.has_excess;
    if (!is_judged) {
        return std::nullopt;
    }
    return next_record(input, move_phase::growing, 1.0,
                       "good after " + std::to_string(input.judged_requests) + " requests");
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
    if (input.time_left <= (is_growing ? milliseconds(0) : k_least_time)) {
        return next_record(input, move_phase::reverted, 0.0,
                           "not landed by the deadline, " + std::to_string(input.judged_requests) +
                               " requests judged, suspicion " + std::to_string(input.suspicion));
    }
    if (!input.record) {
        return next_record(input, move_phase::loading, 0.0, "accepted");
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
        return input.elapsed >= part_of_duration(*input.order, k_landing_part)
                   ? std::optional<move_record>(
                         next_record(input, move_phase::landed, 1.0, input.record->reason))
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
    const auto wanted = static_cast<std::uint32_t>(std::ceil(share * static_cast<double>(targets)));
    return std::min(targets, std::max(wanted, k_least_canaries));
}

} // namespace lovage
