#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/store_port.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovage::fake_platform {

/// The value of a key.
struct kv_entry {
    std::string value;
    std::uint64_t revision = 0;
    /// The lease with which the key expires; 0 for none.
    lease_id lease = 0;
};

struct kv_lease {
    milliseconds ttl{0};
    time_point expiry{};
};

/// State of the key-value store: keys, leases and one counter of revisions for all keys. The functions below
/// do not check whether a lease has expired; call `expire_leases` with the current time first. Not
/// thread-safe.
struct kv_state {
    std::map<std::string, kv_entry> entries;
    std::map<lease_id, kv_lease> leases;
    std::uint64_t last_revision = 0;
    lease_id last_lease = 0;
    /// Number of restorations from a copy.
    std::uint64_t era = 0;
};

/// Returns the revision of a key; 0 if it is absent.
std::uint64_t revision_of(const kv_state& state, const std::string& key);
/// Returns up to `limit` keys with `prefix` and their values, ordered by key.
std::vector<std::pair<std::string, store_value>> list(const kv_state& state, const std::string& prefix,
                                                      std::size_t limit);

/// Writes the key if its revision is `expected` (0: the key is absent) and returns the new revision. A
/// `lease` other than 0 removes the key when it expires. Fails with `revision_conflict`, or with `not_found`
/// if there is no such lease.
result<std::uint64_t> put(kv_state& state, const std::string& key, std::string value, std::uint64_t expected,
                          lease_id lease);
/// Removes the key if its revision is `expected`. Fails with `revision_conflict`.
result<void> remove(kv_state& state, const std::string& key, std::uint64_t expected);

/// Grants a lease that expires after `ttl` unless it is renewed.
lease_id grant(kv_state& state, milliseconds ttl, time_point now);
/// Extends a lease to its full TTL from `now` on. Fails with `not_found`.
result<void> renew(kv_state& state, lease_id lease, time_point now);
/// Ends a lease and removes its keys. Fails with `not_found`.
result<void> revoke(kv_state& state, lease_id lease);
/// Expires all leases whose time to live ended by `now` and removes their keys. Returns whether there were
/// any.
bool expire_leases(kv_state& state, time_point now);
/// Goes back to `copy`, which was taken at `copied_at`: leases have as long to live as they had then, and
/// later revisions and leases are given out again. The era rises by one.
void restore(kv_state& state, const kv_state& copy, time_point copied_at, time_point now);
/// Returns when the next lease expires; nothing if there are no leases.
std::optional<time_point> next_lease_expiry(const kv_state& state);

} // namespace lovage::fake_platform
