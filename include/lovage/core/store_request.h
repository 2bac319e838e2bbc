#pragma once

#include "lovage/core/config_copy.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/store_port.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lovage {

/// Operations of the consistent key-value store.
enum class store_operation : std::uint8_t {
    get,
    watch,
    compare_and_swap,
    grant_lease,
    renew_lease,
    revoke_lease
};
inline constexpr std::size_t k_store_operation_count = 6;
inline constexpr enum_names<k_store_operation_count> k_store_operation_names{
    "get", "watch", "compare_and_swap", "grant_lease", "renew_lease", "revoke_lease"};

/// A call of the store; which fields are used depends on the operation.
struct store_request {
    store_operation operation = store_operation::get;
    std::string key;
    std::string value;
    /// compare_and_swap: the expected revision; watch: the last known revision, a higher one ends the watch.
    std::uint64_t revision = 0;
    lease_id lease = 0;
    /// watch: the timeout; grant_lease: the time to live.
    milliseconds duration{0};
};

/// The result of a store call. Without `failure`, `value` is the value that was read, and `number` is the new
/// revision or the id of the granted lease.
struct store_reply {
    std::optional<error> failure;
    std::optional<store_value> value;
    std::uint64_t number = 0;
    /// The store's era as of this or a later answer; 0 if unknown.
    std::uint64_t era = 0;
};

} // namespace lovage
