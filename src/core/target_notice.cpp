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

} // namespace

void record_leaving(target_notice& notice, std::uint64_t started_ms, time_point now) {
    notice.is_leaving = true;
    notice.started_ms = started_ms;
    notice.recorded = now;
}

void record_pause(target_notice& notice, milliseconds pause, time_point now) {
    notice.paused_until = std::max<time_point>(notice.paused_until, now + std::min(pause, k_max_pause));
    notice.recorded = now;
}

bool is_leaving(const target_notice& notice, const target_record& target) {
    const bool has_started_anew =
        notice.started_ms != 0 && target.started_ms != 0 && notice.started_ms != target.started_ms;
    return notice.is_leaving && !has_started_anew;
}

bool accepts_requests(const target_notice& notice, const target_record& target, time_point now) {
    return !is_leaving(notice, target) && now >= notice.paused_until;
}

bool is_obsolete(const target_notice& notice, time_point now) {
    return now >= notice.paused_until && now - notice.recorded > k_notice_lifetime;
}

std::optional<time_point> earliest_end(const std::vector<time_point>& pauses, time_point now) {
    const auto earliest = std::min_element(pauses.begin(), pauses.end());
    return earliest != pauses.end() && *earliest > now ? std::optional<time_point>(*earliest) : std::nullopt;
}

milliseconds return_after_pause(time_point end, time_point now) {
    return std::clamp(std::chrono::ceil<milliseconds>(end - now), k_min_retry_after, k_max_retry_after);
}

} // namespace lovage
