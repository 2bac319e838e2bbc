#include "lovage/core/shutdown_plan.h"

namespace lovage {

namespace {

// The platform routes callers here until its readiness probe, sent once a second, has failed twice. Requests
// that were in flight at that time need a little longer to arrive.
constexpr milliseconds k_readiness_delay{3'000};
// Time before the kill that is reserved for ending the remaining requests in an orderly way.
constexpr milliseconds k_kill_margin{300};
// Requests are refused from this time before the kill on; the longest plain requests finish within it.
constexpr milliseconds k_closing_time{1'300};
// Allowance for requests that take longer than usual.
constexpr double k_request_time_factor = 1.3;

} // namespace

shutdown_phase plan_shutdown(const shutdown_progress& facts) {
    const bool has_grace_ended = facts.since_stop_request >= facts.grace - k_kill_margin;
    const bool is_done = facts.since_stop_request >= k_readiness_delay && facts.requests == 0;
    if (has_grace_ended || (is_done && facts.connections == 0)) {
        return shutdown_phase::stopped;
    }
    return is_done || facts.since_stop_request >= facts.grace - k_closing_time ? shutdown_phase::closing
                                                                               : shutdown_phase::leaving;
}

bool can_finish_before_kill(time_point::duration since_stop_request, milliseconds grace,
                            time_point::duration usual_time) {
    const auto needed = std::chrono::duration_cast<time_point::duration>(usual_time * k_request_time_factor);
    return since_stop_request + needed <= grace - k_kill_margin;
}

} // namespace lovage
