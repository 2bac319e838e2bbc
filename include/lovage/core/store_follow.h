#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/read_interval.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lovage {

/// How far this process has read the store: the pages of a full read, and the changes since its first page.
struct store_position {
    /// Every change up to this revision has been read of the keys on the pages so far; 0 before the first
    /// page.
    std::uint64_t revision = 0;
    /// Last key of the pages read so far.
    std::string last_key;
    /// Whether pages are left to be read.
    bool has_more_pages = true;
    /// Whether a target was on the pages read so far. Until then, requests can't be served.
    bool has_targets = false;
    /// When the next page may be read.
    time_point next_page_at{};
    /// When the first page or changes were read last.
    time_point last_read_at{};
    /// Whether to wait between two reads of changes. If there were none, the store holds the next read up.
    bool is_read_spaced = false;
    /// Whether the last call has failed.
    bool has_failed = false;
    /// No call is made before this time.
    time_point retry_at{};
    /// Pause after the next failure.
    milliseconds backoff{100};
    /// Time over which the next call that exceeds the store's rate limit is repeated.
    milliseconds retry_spread{250};
    /// Until this time, the rate limit is taken to be short for the whole fleet.
    time_point rate_limited_until{};
};

/// What a process that follows the store does next.
enum class store_step : std::uint8_t { wait, read_page, read_changes };
inline constexpr std::size_t k_store_step_count = 3;
inline constexpr enum_names<k_store_step_count> k_store_step_names{"wait", "read_page", "read_changes"};
static_assert(static_cast<std::size_t>(store_step::read_changes) + 1 == k_store_step_count);

/// The next step, and for `wait` how long to wait before planning again.
struct store_plan {
    store_step step = store_step::wait;
    milliseconds wait{0};
};

/// What the peers have told about the store.
struct store_hints {
    /// Newest revision that a peer has announced since the last read of changes; 0 for none.
    std::uint64_t announced_revision = 0;
    std::size_t live_peers = 0;
};

/// Returns the next step.
///
/// Load pattern: hundreds of processes restart together and read the whole store over its one link. Once a
/// process can serve, it spaces its pages by the time that the last one took, so that the first pages of the
/// others are not held up. Changes are read between the pages, so the configuration stays confirmed however
/// long the pages take.
store_plan plan_store_step(const store_position& position, const store_hints& hints,
                           const freshness_limits& limits, time_point now);

/// A page that has been read.
struct page_read {
    /// The store's revision.
    std::uint64_t revision = 0;
    std::string last_key;
    bool has_more_pages = false;
    bool has_targets = false;
    time_point sent_at{};
};

/// Records a page of the full read.
void record_page(store_position& position, page_read page, time_point now);

/// Records a read of changes up to `revision`.
void record_changes(store_position& position, std::uint64_t revision, bool has_changes, time_point now);

/// Records a failed call, which is repeated after a pause: the pages read so far stay read.
void record_failure(store_position& position, time_point now);

/// Records a call that exceeded the store's rate limit.
///
/// Load pattern: hundreds of processes call at the same moment and most are refused. Each repeats its call at
/// a random time of a period that doubles, given by `random_fraction` in [0, 1), so they do not meet again.
/// Reads are then as rare as the limits allow unless a peer announces a change, since a process that has just
/// started knows no peers.
void record_rate_limit(store_position& position, double random_fraction, time_point now);

/// Starts the full read again, after a pause if `is_delayed`.
void restart_full_read(store_position& position, bool is_delayed, time_point now);

} // namespace lovage
