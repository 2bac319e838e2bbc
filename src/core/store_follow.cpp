#include "lovage/core/store_follow.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

// The backoff after failed calls starts with `store_position::backoff`, which is short, since single answers
// may be lost.
// The longest one adds to the time until a process notices that the store is back, of the 2 s to 3 s within
// which a target that leaves must be known.
constexpr milliseconds k_max_backoff{200};

// Calls are rare for this long after one that exceeded the rate limit.
constexpr milliseconds k_rate_limited_period{10'000};
// A period of 2 s spreads the calls of 340 processes to 170 a second.
constexpr milliseconds k_max_retry_spread{2'000};
// Peers of a process of a large fleet; the interval between reads is then the longest.
constexpr std::size_t k_many_peers = 300;
// Pause between two pages while the rate limit is short.
constexpr milliseconds k_rate_limited_page_pause{1'000};

// Longest pause between two pages.
constexpr milliseconds k_max_page_pause{1'000};

milliseconds time_until(time_point then, time_point now) {
    return std::max(std::chrono::ceil<milliseconds>(then - now), milliseconds(0));
}

} // namespace

store_plan plan_store_step(const store_position& position, const store_hints& hints,
                           const freshness_limits& limits, time_point now) {
    if (now < position.retry_at) {
        return {store_step::wait, time_until(position.retry_at, now)};
    }
    if (position.revision == 0) {
        return {store_step::read_page};
    }
    const bool is_rate_limited = now < position.rate_limited_until;
    const auto live_peers = is_rate_limited ? k_many_peers : hints.live_peers;
    milliseconds until_changes{0};
    if (position.is_read_spaced) {
        until_changes = plan_read_pause(
            {now - position.last_read_at, position.revision, hints.announced_revision, live_peers}, limits);
    }
    if (until_changes <= milliseconds(0)) {
        return {store_step::read_changes};
    }
    if (!position.has_more_pages) {
        return {store_step::wait, until_changes};
    }
    const auto until_page = time_until(position.next_page_at, now);
    if (until_page <= milliseconds(0)) {
        return {store_step::read_page};
    }
    return {store_step::wait, std::min(until_changes, until_page)};
}

void record_page(store_position& position, page_read page, time_point now) {
    if (position.revision == 0) {
        // Reading changes from the first page's revision delivers those made while later pages are read.
        position.revision = page.revision;
        position.last_read_at = now;
    }
    position.has_failed = false;
    position.last_key = std::move(page.last_key);
    position.has_more_pages = page.has_more_pages;
    position.has_targets = position.has_targets || page.has_targets;
    position.is_read_spaced = page.has_more_pages;
    const auto took = std::min<time_point::duration>(now - page.sent_at, k_max_page_pause);
    const bool is_rate_limited = now < position.rate_limited_until;
    const time_point::duration pause = is_rate_limited ? k_rate_limited_page_pause : took;
    position.next_page_at = position.has_targets ? now + pause : now;
    position.backoff = store_position().backoff;
    position.retry_spread = store_position().retry_spread;
}

void record_changes(store_position& position, std::uint64_t revision, bool has_changes, time_point now) {
    position.revision = revision;
    position.last_read_at = now;
    position.has_failed = false;
    position.is_read_spaced = has_changes || position.has_more_pages;
    position.backoff = store_position().backoff;
    position.retry_spread = store_position().retry_spread;
}

void record_failure(store_position& position, time_point now) {
    position.has_failed = true;
    position.retry_at = now + position.backoff;
    position.backoff = std::min(position.backoff * 2, k_max_backoff);
}

void record_rate_limit(store_position& position, double random_fraction, time_point now) {
    position.has_failed = true;
    // The store answers, so the failures before are over.
    position.backoff = store_position().backoff;
    const auto spread = static_cast<double>(position.retry_spread.count());
    position.retry_at = now + position.backoff + milliseconds(static_cast<int>(random_fraction * spread));
    position.rate_limited_until = now + k_rate_limited_period;
    position.retry_spread = std::min(position.retry_spread * 2, k_max_retry_spread);
}

void restart_full_read(store_position& position, bool is_delayed, time_point now) {
    const auto backoff = position.backoff;
    position = {};
    if (is_delayed) {
        position.backoff = backoff;
        record_failure(position, now);
    }
}

} // namespace lovage
