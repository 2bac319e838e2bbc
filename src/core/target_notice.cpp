#include "lovage/core/target_notice.h"

#include <algorithm>

namespace lovage {

namespace {

// A faulty target cannot exclude itself for longer with one answer.
constexpr milliseconds k_max_pause{600'000};
// Notices of targets without an entry are kept for this time. Entries that lapse while the store is down
// return within seconds of its recovery; outages last minutes.
constexpr std::chrono::hours k_notice_lifetime{1};
// Bounds of the Retry-After during a pause: callers that return at once find the targets paused still, and
// other targets may have registered after a few seconds.
constexpr milliseconds k_min_retry_after{200};
constexpr milliseconds k_max_retry_after{5'000};
// Parts of a pause over which processes and callers return after its end: the longer it was, the more wait.
constexpr double k_process_spread = 0.25;
constexpr double k_caller_spread = 0.5;
constexpr milliseconds k_max_process_spread{1'000};

time_point::duration part_of(time_point::duration whole, double part) {
    return std::chrono::duration_cast<time_point::duration>(whole * part);
}

// Prepares the notice for a statement of the target that started at `started_ms`.
void begin_statement(target_notice& notice, std::uint64_t started_ms, time_point now) {
    if (has_started_anew(notice.started_ms, started_ms)) {
        notice = {};
    }
    notice.started_ms = started_ms != 0 ? started_ms : notice.started_ms;
    notice.recorded = now;
}

} // namespace

bool has_started_anew(std::uint64_t noticed_ms, std::uint64_t started_ms) {
    return noticed_ms != 0 && started_ms != 0 && noticed_ms != started_ms;
}

void record_leaving(target_notice& notice, std::uint64_t started_ms, time_point now) {
    begin_statement(notice, started_ms, now);
    notice.is_leaving = true;
}

void record_pause(target_notice& notice, std::uint64_t started_ms, milliseconds pause, double position,
                  time_point now) {
    begin_statement(notice, started_ms, now);
    const auto limited = std::min(pause, k_max_pause);
    const auto spread =
        std::min<time_point::duration>(part_of(limited, k_process_spread), k_max_process_spread);
    notice.paused_until =
        std::max<time_point>(notice.paused_until, now + limited + part_of(spread, position));
}

void record_invalid(target_notice& notice, std::uint64_t started_ms, time_point now) {
    begin_statement(notice, started_ms, now);
}

target_availability availability_of(const target_notice& notice, const target_record& target, work_kind work,
                                    time_point now) {
    const bool is_current = !has_started_anew(notice.started_ms, target.started_ms);
    const bool is_leaving = target.phase == target_phase::draining || (is_current && notice.is_leaving);
    if (work == work_kind::new_work && is_leaving) {
        return {acceptance::leaving, {}};
    }
    if (is_current && now < notice.paused_until) {
        return {acceptance::paused, notice.paused_until};
    }
    return {};
}

bool is_obsolete(const target_notice& notice, time_point now) {
    return now >= notice.paused_until && now - notice.recorded > k_notice_lifetime;
}

std::optional<time_point> earliest_end(const std::vector<target_availability>& targets) {
    std::optional<time_point> end;
    for (const auto& target : targets) {
        if (target.state == acceptance::accepting) {
            return std::nullopt;
        }
        if (target.state == acceptance::paused && (!end || target.until < *end)) {
            end = target.until;
        }
    }
    return end;
}

milliseconds return_after_pause(time_point end, double position, time_point now) {
    const auto left = end - now;
    const auto spread = part_of(left, k_caller_spread * position);
    return std::clamp(std::chrono::ceil<milliseconds>(left + spread), k_min_retry_after, k_max_retry_after);
}

} // namespace lovage
