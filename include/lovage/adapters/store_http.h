#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/ports/store_port.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lovage {

/// The calls of the store, as counted in metrics.
enum class store_call : std::uint8_t {
    get,
    list,
    compare_and_swap,
    remove,
    grant_lease,
    renew_lease,
    revoke_lease,
    watch,
};
inline constexpr std::size_t k_store_call_count = 8;
inline constexpr enum_names<k_store_call_count> k_store_call_names{
    "get", "list", "compare_and_swap", "remove", "grant_lease", "renew_lease", "revoke_lease", "watch"};
static_assert(static_cast<std::size_t>(store_call::watch) + 1 == k_store_call_count);

struct store_http_options {
    /// "ip:port" of the platform.
    std::string address;
    milliseconds connect_timeout{500};
    /// Timeout of one call, rounded up to whole seconds; that of a watch is longer by its wait.
    milliseconds timeout{2'000};
};

/// Called once for each call that was sent, with the names of the call and its outcome ("ok" or the error
/// kind), from the calling thread.
using store_call_hook = std::function<void(std::string_view call, std::string_view outcome)>;

/// Returns a store port over the platform's HTTP interface (docs/design.md, 10.3).
///
/// Errors beyond those of `store_port`: `request_too_large` for a value above the store's limit,
/// `protocol_error` for a call that the store rejects as malformed, or for a malformed response.
/// A rate limit (429) and an outage (503) are `store_unavailable` with nothing written.
store_port make_store_http(const store_http_options& options, store_call_hook on_call = nullptr);

} // namespace lovage
