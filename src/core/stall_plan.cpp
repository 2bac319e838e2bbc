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

// Returns whether the target has generated events that should have arrived by now.
bool are_events_lost(const stall_state& facts) {
    return facts.status->events > facts.last_event + k_max_events_in_flight;
}

} // namespace

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
