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

/// A value of the platform's store with its modification number (from 1; 0 means absent).
struct store_value {
    std::string value;
    std::uint64_t revision = 0;
};

using lease_id = std::uint64_t;

/// A page of the keys below a prefix, in the order of the keys. Pages are no snapshot: a change may show in
/// one and not in another, so a watch should go on from the first page's `revision`.
struct store_page {
    std::vector<std::pair<std::string, store_value>> items;
    bool has_more = false;
    /// The store's counter when the page was read.
    std::uint64_t revision = 0;
};

/// A key that was written, or removed if it has no value.
struct store_change {
    std::string key;
    std::optional<store_value> value;
};

/// The changes below a prefix in their order; none if the wait is over. A watch goes on from `revision`.
struct store_changes {
    std::vector<store_change> changes;
    std::uint64_t revision = 0;
};

/// A value to write.
struct store_put {
    std::string key;
    std::string value;
};

/// The platform's key-value service. Every function blocks for at most the adapter's timeout and may be
/// called from any thread.
///
/// Errors: `store_unavailable` (no answer; a write may or may not have taken effect), `revision_conflict`
/// (compare-and-swap found another revision; nothing was written), `not_found` (unknown lease),
/// `history_lost` (the changes after a revision are no longer kept; the prefix must be read again).
/// The functions over prefixes may be missing in an adapter that does not need them.
struct store_port {
    std::function<result<std::optional<store_value>>(const std::string& key)> get;
    /// Lists keys below a prefix with their values, at most `limit`.
    std::function<result<std::vector<std::pair<std::string, store_value>>>(const std::string& prefix,
                                                                           std::uint32_t limit)>
        list;
    /// Writes if the key's revision is `expected` (0: absent); returns the new revision. `lease` 0 means
    /// none; otherwise the key goes away when the lease ends.
    std::function<result<std::uint64_t>(const std::string& key, const std::string& value,
                                        std::uint64_t expected, lease_id lease)>
        compare_and_swap;
    /// Writes all values if the revision of `key` is `expected` (0: absent), or none; returns the new
    /// revision.
    std::function<result<std::uint64_t>(const std::string& key, std::uint64_t expected,
                                        const std::vector<store_put>& puts)>
        write_together;
    std::function<result<void>(const std::string& key, std::uint64_t expected)> remove;
    std::function<result<lease_id>(milliseconds ttl)> grant_lease;
    std::function<result<void>(lease_id)> renew_lease;
    std::function<result<void>(lease_id)> revoke_lease;
    /// Waits until the key's revision is above `after` or `wait` is over; nothing at the end of the wait, a
    /// value of revision 0 if `after` is above 0 and the key is absent (removed, or its lease ended).
    std::function<result<std::optional<store_value>>(const std::string& key, std::uint64_t after,
                                                     milliseconds wait)>
        watch;
    /// The keys below a prefix that come after the key `after` (empty: from the first).
    std::function<result<store_page>(const std::string& prefix, const std::string& after)> read_page;
    /// Waits until something below the prefix has changed after a revision, or `wait` is over.
    std::function<result<store_changes>(const std::string& prefix, std::uint64_t after, milliseconds wait)>
        watch_prefix;
    /// Ends calls in progress and refuses later ones, for the stop of the process.
    std::function<void()> stop;
};

} // namespace lovage
