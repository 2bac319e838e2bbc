#include "lovage/core/stall_plan.h"

#include <algorithm>

namespace lovage {

namespace {

// The state that a target reports is a few hundred milliseconds old; it generates at most this many events in
// that time.
constexpr std::uint64_t k_max_events_in_flight = 12;
// Interval between probes of a target whose prompt waits or is in prefill.
constexpr milliseconds k_probe_interval{500};

// Bytes per second that a sound target sends at least while it sends an answer; links between machines carry
// more.
constexpr std::uint64_t k_min_transfer_rate = 100'000;

// Fraction of the latency objective after which a stream without a first event fails over; the rest suffices
// for another target to read the prompt again.
constexpr double k_first_event_fraction = 0.55;
// Fraction of the latency objective after which the engine is probed whether it is reading the prompt.
constexpr double k_probe_first_event_fraction = 0.4;
// Longer objectives than the first value count as the second one. A longer objective lets requests wait for
// their start; it does not make prefills longer.
constexpr milliseconds k_longest_exact_objective{5'000};
constexpr milliseconds k_bounded_objective{4'500};
// Time to the first event, as a multiple of the mean, that calls for a probe where prefills are limited. The
// same multiple bounds the give-up time from below, for engines whose prefills take longer than usual.
constexpr double k_late_prefill_factor = 1.5;
// An engine's status report is a few hundred milliseconds old, so an earlier probe tells nothing.
constexpr milliseconds k_min_probe_delay{600};

milliseconds scale(milliseconds whole, double factor) {
    return milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(whole.count())));
}

// Returns whether the target has generated events that should have arrived by now.
bool are_events_lost(const stall_state& facts) {
    return facts.status->events > facts.last_event + k_max_events_in_flight;
}

} // namespace

first_event_limits first_event_limits_of(milliseconds objective, const prefill_facts& prefills) {
    const bool is_bounded =
        objective > k_longest_exact_objective && (prefills.is_limited || prefills.is_reported);
    const auto bounded = is_bounded ? k_bounded_objective : objective;
    const auto late_prefill = scale(prefills.mean, k_late_prefill_factor);
    first_event_limits limits;
    limits.probe_after = scale(bounded, k_probe_first_event_fraction);
    if (prefills.is_limited && prefills.mean > milliseconds(0)) {
        limits.probe_after = std::min(limits.probe_after, std::max(late_prefill, k_min_probe_delay));
    }
    limits.stall_timeout = std::min(scale(objective, k_first_event_fraction),
                                    std::max(scale(bounded, k_first_event_fraction), late_prefill));
    return limits;
}

time_point::duration transfer_silence(const transfer_progress& progress, time_point now) {
    const auto earned = std::chrono::microseconds(
        static_cast<std::int64_t>(progress.body_bytes * 1'000'000 / k_min_transfer_rate));
    return std::max<time_point::duration>(now - progress.last, now - progress.started - earned);
}

stall_decision decide_stall_step(const stall_state& facts) {
    if (facts.silence < facts.probe_after) {
        return {stall_step::wait, facts.probe_after};
    }
    if (!facts.status) {
        return {stall_step::ask, facts.stall_timeout};
    }
    switch (facts.status->state) {
    case run_state::no_answer:
    case run_state::absent:
        return {stall_step::give_up, {}};
    case run_state::unlisted:
        if (facts.has_event) {
            return {stall_step::give_up, {}};
        }
        [[fallthrough]];
    case run_state::present:
        if (are_events_lost(facts)) {
            return {stall_step::give_up, {}};
        }
        if (!facts.has_event) {
            // The prompt waits or is in prefill; another target would have to start the prefill over.
            const auto silence = std::chrono::ceil<milliseconds>(facts.silence);
            return {stall_step::wait, silence + k_probe_interval};
        }
        break;
    case run_state::not_told:
        break;
    }
    if (facts.silence < facts.stall_timeout) {
        return {stall_step::wait, facts.stall_timeout};
    }
    return {stall_step::give_up, {}};
}

} // namespace lovage
