#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

/// A value of the platform's key-value store and the revision that wrote it (from 1; 0 means absent). If the
/// store may come back from a copy, the adapter orders revisions over its restorations (store_revision.h).
struct store_value {
    std::string value;
    std::uint64_t revision = 0;
};

using lease_id = std::uint64_t;

/// A page of the keys with a prefix, in key order. The pages of a listing are not a consistent snapshot: a
/// change may be visible in one page and missing in another, so a watch should start at the first page's
/// `revision`.
struct store_page {
    std::vector<std::pair<std::string, store_value>> items;
    bool has_more = false;
    /// The store's latest revision when the page was read.
    std::uint64_t revision = 0;
};

/// A key that was written, or that was removed if `value` is not set.
struct store_change {
    std::string key;
    std::optional<store_value> value;
};

/// The changes to keys with a prefix, in order; empty if the wait timed out. The next watch starts at
/// `revision`.
struct store_changes {
    std::vector<store_change> changes;
    std::uint64_t revision = 0;
};

/// A key and the value to write to it.
struct store_put {
    std::string key;
    std::string value;
};

/// The platform's key-value store. Every function blocks for at most the adapter's timeout and may be
/// called from any thread.
///
/// Errors: `store_unavailable` (no answer; a write may or may not have taken effect), `revision_conflict`
/// (the compare-and-swap found another revision; nothing was written), `not_found` (unknown lease),
/// `history_lost` (the store no longer has the changes after the given revision; the prefix must be read
/// again). Adapters whose users need no prefix functions may leave these empty.
struct store_port {
    std::function<result<std::optional<store_value>>(const std::string& key)> get;
    /// Lists at most `limit` keys with a prefix, and their values.
    std::function<result<std::vector<std::pair<std::string, store_value>>>(const std::string& prefix,
                                                                           std::uint32_t limit)>
        list;
    /// Writes the value if the key's revision is `expected` (0: absent); returns the new revision. The key is
    /// deleted when `lease` ends; 0 means no lease.
    std::function<result<std::uint64_t>(const std::string& key, const std::string& value,
                                        std::uint64_t expected, lease_id lease)>
        compare_and_swap;
    /// Writes all values atomically if the revision of `key` is `expected` (0: absent); otherwise writes
    /// none. Returns the new revision.
    std::function<result<std::uint64_t>(const std::string& key, std::uint64_t expected,
                                        const std::vector<store_put>& puts)>
        write_together;
    /// Deletes the key if its revision is `expected`.
    std::function<result<void>(const std::string& key, std::uint64_t expected)> remove;
    std::function<result<lease_id>(milliseconds ttl)> grant_lease;
    std::function<result<void>(lease_id)> renew_lease;
    std::function<result<void>(lease_id)> revoke_lease;
    /// Long-polls until the key's revision is above `after`, for at most `wait`. Returns nothing if the wait
    /// timed out, and a value with revision 0 if `after` is above 0 and the key is absent (removed, or its
    /// lease ended).
    std::function<result<std::optional<store_value>>(const std::string& key, std::uint64_t after,
                                                     milliseconds wait)>
        watch;
    /// Reads the page of keys with a prefix that starts after the key `after` (empty: at the first key).
    std::function<result<store_page>(const std::string& prefix, const std::string& after)> read_page;
    /// Long-polls for changes to keys with the prefix after the revision `after`, for at most `wait`.
    std::function<result<store_changes>(const std::string& prefix, std::uint64_t after, milliseconds wait)>
        watch_prefix;
    /// The number of the store's restorations from a copy, as of its last answer; 0 if unknown. Revisions and
    /// leases carry the era in which they were read or granted (core/store_revision.h); those of an earlier
    /// era are refused with `revision_conflict` or `not_found`.
    std::function<std::uint64_t()> era;
    /// Aborts calls in progress and makes later ones fail; used when the process shuts down.
    std::function<void()> stop;
};

} // namespace lovage
