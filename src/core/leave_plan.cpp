#include "lovage/core/leave_plan.h"

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

leave_phase plan_leave(const leave_facts& facts) {
    const bool has_grace_ended = facts.since_asked >= facts.grace - k_kill_margin;
    if (has_grace_ended || (facts.since_asked >= k_readiness_delay && facts.requests == 0)) {
        return leave_phase::stopped;
    }
    return facts.since_asked >= facts.grace - k_closing_time ? leave_phase::closing : leave_phase::leaving;
}

bool can_end_in_time(time_point::duration since_asked, milliseconds grace, time_point::duration usual_time) {
    const auto needed = std::chrono::duration_cast<time_point::duration>(usual_time * k_request_time_factor);
    return since_asked + needed <= grace - k_kill_margin;
}

} // namespace lovage
