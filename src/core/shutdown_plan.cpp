#include "lovage/core/shutdown_plan.h"

#include <algorithm>

namespace lovage {

namespace {

// The platform routes callers here until its readiness probe, sent once a second, has failed twice. Requests
// that were in flight at that time need a little longer to arrive.
constexpr milliseconds k_readiness_delay{3'000};
// Time before the kill that is reserved for the final answers of the remaining requests.
constexpr milliseconds k_kill_margin{300};
// Time before the kill at which the process exits, whatever is left.
constexpr milliseconds k_exit_margin{100};
// Requests are refused from this time before the kill on; the longest plain requests finish within it.
constexpr milliseconds k_closing_time{1'300};
// Allowance for requests that take longer than usual.
constexpr double k_request_time_factor = 1.3;

} // namespace

shutdown_phase plan_shutdown(const shutdown_progress& facts) {
    const bool has_grace_ended = facts.since_stop_request >= facts.grace - k_kill_margin;
    const bool is_done = facts.since_stop_request >= k_readiness_delay && facts.requests == 0;
    const bool is_empty = is_done && facts.connections == 0 && !facts.is_listening;
    if (facts.since_stop_request >= facts.grace - k_exit_margin || is_empty ||
        (has_grace_ended && facts.requests == 0)) {
        return shutdown_phase::stopped;
    }
    if (has_grace_ended) {
        return shutdown_phase::ending;
    }
    return is_done || facts.since_stop_request >= facts.grace - k_closing_time ? shutdown_phase::closing
                                                                               : shutdown_phase::leaving;
}

time_point::duration next_shutdown_check(const shutdown_progress& facts) {
    time_point::duration next = facts.grace - k_exit_margin;
    for (const milliseconds limit :
         {k_readiness_delay, facts.grace - k_closing_time, facts.grace - k_kill_margin}) {
        if (limit > facts.since_stop_request) {
            next = std::min<time_point::duration>(next, limit);
        }
    }
    return next;
}

time_point::duration handover_start(milliseconds grace) {
    return grace - k_closing_time;
}

bool may_start_late(const late_request& request) {
    const auto left = request.grace - k_kill_margin - request.since_stop_request;
    if (request.since_stop_request > k_readiness_delay) {
        return request.longest_time <= left;
    }
    return std::chrono::duration_cast<time_point::duration>(request.usual_time * k_request_time_factor) <=
           left;
}

} // namespace lovage
