#include "lovage/core/not_run.h"

namespace lovage {

namespace {

bool happened_within(const std::optional<time_point>& event_time, milliseconds window, time_point now) {
    return event_time && now - *event_time < window;
}

} // namespace

bool is_not_run(const not_run_conditions& facts, time_point now) {
    if (facts.has_tombstone) {
        return true;
    }
    if (facts.dispatched || facts.claim_sent) {
        return false;
    }
    if (facts.is_fresh_id) {
        return true;
    }
    return facts.is_home && !happened_within(facts.home_changed_at, k_home_settling_time, now) &&
           !happened_within(facts.entry_failed_at, k_failure_settling_time, now);
}

} // namespace lovage
