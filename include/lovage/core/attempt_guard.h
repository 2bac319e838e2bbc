#pragma once

#include "lovage/core/ids.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace lovage {

/// The highest attempt number seen for each answer, so that a delayed message cannot start an older attempt.
/// Holds at most `capacity` answers; beyond that, the entry that was inserted first is evicted.
struct attempt_guard {
    using key = std::pair<request_id, std::uint64_t>;

    std::size_t capacity = 8'192;
    std::map<key, attempt_number> highest;
    /// Keys in order of insertion.
    std::deque<key> order;
};

/// Records `ref` and returns whether it is newer than every attempt of its answer seen before.
bool admit_attempt(attempt_guard& guard, const attempt_ref& ref);

/// Records that `ref` and older attempts of its answer must not start from now on.
void close_attempt(attempt_guard& guard, const attempt_ref& ref);

} // namespace lovage
