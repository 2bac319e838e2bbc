#pragma once

#include "lovage/core/enum_names.h"

#include <array>
#include <cstdint>

namespace lovage::fake_platform {

/// Kinds of calls to the platform; each kind has a counter.
enum class call_kind : std::uint8_t {
    get,
    list,
    put,
    remove,
    lease_grant,
    lease_renew,
    lease_revoke,
    watch,
    vms,
    weights,
};
inline constexpr std::size_t k_call_kind_count = 10;
inline constexpr enum_names<k_call_kind_count> k_call_kind_names{
    "get", "list", "put", "delete", "lease_grant", "lease_renew", "lease_revoke", "watch", "vms", "weights"};

/// The rate limit that a call counts against.
enum class call_class : std::uint8_t { read, write, unlimited };
inline constexpr std::size_t k_call_class_count = 3;
inline constexpr enum_names<k_call_class_count> k_call_class_names{"read", "write", "unlimited"};

/// Rate limit of each kind of call. A watch counts as one read when it starts, regardless of how long it
/// waits.
inline constexpr std::array<call_class, k_call_kind_count> k_call_classes{
    call_class::read,  call_class::read,  call_class::write, call_class::write, call_class::write,
    call_class::write, call_class::write, call_class::read,  call_class::read,  call_class::unlimited};
static_assert(static_cast<std::size_t>(call_kind::weights) + 1 == k_call_kind_count);

/// Why a call was refused before it had any effect: the `down` fault is set, or its rate limit was exceeded.
enum class refusal : std::uint8_t { none, down, rate };
inline constexpr std::size_t k_refusal_count = 3;
inline constexpr enum_names<k_refusal_count> k_refusal_names{"none", "down", "rate"};

} // namespace lovage::fake_platform
