#pragma once

#include "lovage/core/enum_names.h"

#include <cstddef>
#include <cstdint>

namespace lovage {

/// What the caller has received of the response to its request.
enum class delivery_phase : std::uint8_t {
    nothing,
    /// The head and events of a stream, which events of another attempt may continue.
    events,
    /// The head and a part of another body, which only the same answer can continue.
    body,
};
inline constexpr std::size_t k_delivery_phase_count = 3;
inline constexpr enum_names<k_delivery_phase_count> k_delivery_phase_names{"nothing", "events", "body"};
static_assert(static_cast<std::size_t>(delivery_phase::body) + 1 == k_delivery_phase_count);

/// How the answer of a new attempt is used.
enum class answer_use : std::uint8_t {
    /// The body is held until it is whole or too large to be held.
    hold,
    /// Whole events are passed on as they arrive.
    forward_events,
    /// The answer cannot follow what the caller has received; the attempt has failed.
    reject,
};
inline constexpr std::size_t k_answer_use_count = 3;
inline constexpr enum_names<k_answer_use_count> k_answer_use_names{"hold", "forward_events", "reject"};
static_assert(static_cast<std::size_t>(answer_use::reject) + 1 == k_answer_use_count);

/// Returns how an answer with `status` is used after the caller has received `delivered`. `is_stream_route`
/// tells whether successes of the route are streams of events.
answer_use plan_answer_use(delivery_phase delivered, bool is_stream_route, int status);

} // namespace lovage
