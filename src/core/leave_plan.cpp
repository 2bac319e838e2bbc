#include "lovage/core/leave_plan.h"

namespace lovage {

namespace {

// Callers are still sent here until the platform has seen that this process is not ready: it asks once a
// second and needs two answers. A request that was on its way then needs a little longer.
constexpr milliseconds k_unseen_time{3'000};
// Before the kill, what is still running is ended in an orderly way.
constexpr milliseconds k_end_margin{300};
// The longest plain requests end within this time before the end.
constexpr milliseconds k_closing_time{1'300};
// Requests take longer than usual now and then.
constexpr double k_usual_time_factor = 1.3;

} // namespace

leave_phase plan_leave(const leave_facts& facts) {
    const bool is_over = facts.since_asked >= facts.grace - k_end_margin;
    if (is_over || (facts.since_asked >= k_unseen_time && facts.requests == 0)) {
        return leave_phase::stopped;
    }
    return facts.since_asked >= facts.grace - k_closing_time ? leave_phase::closing : leave_phase::leaving;
}

bool can_end_in_time(time_point::duration since_asked, milliseconds grace, time_point::duration usual_time) {
    const auto needed = std::chrono::duration_cast<time_point::duration>(usual_time * k_usual_time_factor);
    return since_asked + needed <= grace - k_end_margin;
}

} // namespace lovage
