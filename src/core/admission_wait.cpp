#include "lovage/core/admission_wait.h"

#include <algorithm>

namespace lovage {

namespace {

// Weight of the newest interval in the moving average.
constexpr double k_newest_weight = 0.2;
// Interval that is assumed before two generations have ended.
constexpr double k_default_interval_ms = 500.0;
// Bounds of Retry-After: callers need some time for a new connection, and honour at most a part of their own
// timeout.
constexpr milliseconds k_min_return{200};
constexpr milliseconds k_max_return{6'000};

// Requests that have waited for the end of a pause start at this multiple of the rate at which they arrived.
constexpr std::int64_t k_catch_up_factor = 2;
constexpr time_point::duration k_min_start_interval = std::chrono::microseconds(100);

milliseconds interval_of(const release_rate& rate) {
    const double mean_ms = rate.mean_interval_ms > 0.0 ? rate.mean_interval_ms : k_default_interval_ms;
    const milliseconds interval(static_cast<std::int64_t>(mean_ms));
    return rate.longest_interval > milliseconds(0) ? std::min(interval, rate.longest_interval) : interval;
}

} // namespace

void record_release(release_rate& rate, time_point now) {
    if (rate.last_release != time_point{}) {
        const double interval = std::chrono::duration<double, std::milli>(now - rate.last_release).count();
        rate.mean_interval_ms =
            rate.mean_interval_ms == 0.0
                ? interval
                : rate.mean_interval_ms + k_newest_weight * (interval - rate.mean_interval_ms);
    }
    rate.last_release = now;
    rate.has_unused_release = true;
}

time_point next_start(const release_rate& rate, time_point now) {
    return rate.has_unused_release ? now : std::max<time_point>(now, rate.last_start + interval_of(rate));
}

void record_start(release_rate& rate, time_point now) {
    rate.has_unused_release = false;
    rate.last_start = now;
}

milliseconds expected_wait(const release_rate& rate, std::size_t waiting_before) {
    return interval_of(rate) * static_cast<std::int64_t>(waiting_before + 1);
}

start_pace plan_starts(std::size_t waiting, time_point::duration span, time_point now) {
    start_pace pace;
    if (waiting > 0) {
        const auto interval = span / (k_catch_up_factor * static_cast<std::int64_t>(waiting));
        pace.interval = std::max(interval, k_min_start_interval);
        pace.next = now;
        pace.left = waiting;
    }
    return pace;
}

void record_paced_start(start_pace& pace, bool is_last) {
    pace.next += pace.interval;
    pace.left -= pace.left > 0 ? 1 : 0;
    if (is_last) {
        pace = {};
    }
}

admission_step decide_admission(const release_rate& rate, const admission_request& request) {
    if (request.has_room && request.waiting_before == 0 && !request.pause_left) {
        return admission_step::start;
    }
    const auto position = static_cast<std::int64_t>(request.waiting_before + 1);
    time_point::duration wait = request.release_interval > time_point::duration::zero()
                                    ? request.release_interval * position
                                    : expected_wait(rate, request.waiting_before);
    if (request.pause_left) {
        // Those that wait already start first, at a multiple of the rate at which they arrived.
        wait = *request.pause_left + request.waited_for_pause / k_catch_up_factor;
    } else if (request.has_room && request.start_interval > time_point::duration::zero()) {
        wait = request.start_interval * position;
    }
    return wait <= request.patience ? admission_step::wait : admission_step::refuse;
}

milliseconds plan_return(release_rate& rate, std::size_t waiting, time_point now) {
    const auto latest = now + k_max_return;
    const auto earliest = std::min<time_point>(now + expected_wait(rate, waiting), latest);
    const auto next = std::max<time_point>(earliest, rate.last_return + interval_of(rate));
    // Callers beyond the longest delay share the times of those refused before, in place of all getting the
    // last one.
    rate.last_return = next <= latest ? next : earliest;
    return std::max(std::chrono::ceil<milliseconds>(rate.last_return - now), k_min_return);
}

} // namespace lovage
