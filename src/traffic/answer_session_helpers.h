#pragma once

#include "lovage/core/messages.h"

#include <algorithm>
#include <vector>

namespace lovage {

/// A home entry that is only partitioned may dispatch further attempts. Its successor skips this many
/// numbers, so that no two dispatches have the same number.
inline constexpr attempt_number k_takeover_attempt_stride = 100;

/// Returns whether `longer` begins with all tokens of `shorter`.
inline bool is_prefix(const std::vector<token>& shorter, const std::vector<token>& longer) {
    return shorter.size() <= longer.size() && std::equal(shorter.begin(), shorter.end(), longer.begin());
}

} // namespace lovage
