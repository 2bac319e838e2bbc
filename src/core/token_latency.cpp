#include "lovage/core/token_latency.h"

namespace lovage {

namespace {

// The objective allows 1 slow gap in 20.
constexpr std::uint64_t k_gaps_per_slow_gap = 20;
constexpr std::uint64_t k_min_slow_gaps = 2;
// An answer in progress with fewer gaps is not judged.
constexpr std::uint64_t k_min_gaps_in_progress = 8;

} // namespace

token_latency start_token_latency(time_point now, bool is_resume) {
    token_latency pace;
    pace.started = now;
    pace.last = now;
    pace.has_received_first_token = is_resume;
    return pace;
}

void add_tokens(token_latency& pace, std::size_t count, const objective& latency_objective, time_point now) {
    if (count == 0) {
        return;
    }
    auto gaps = static_cast<std::uint64_t>(count);
    if (!pace.has_received_first_token) {
        pace.is_first_token_slow = is_first_token_overdue(pace, latency_objective, now);
        pace.has_received_first_token = true;
        // Tokens that arrive together with the first one followed it without delay.
        pace.gaps += gaps - 1;
    } else {
        pace.gaps += gaps;
        if ((now - pace.last) / static_cast<std::int64_t>(gaps) >
            milliseconds(latency_objective.token_gap_ms)) {
            pace.slow_gaps += gaps;
        }
    }
    pace.last = now;
}

bool is_first_token_overdue(const token_latency& pace, const objective& latency_objective, time_point now) {
    return !pace.has_received_first_token &&
           now - pace.started > milliseconds(latency_objective.first_token_ms);
}

bool has_slow_gaps(const token_latency& pace) {
    return pace.slow_gaps >= k_min_slow_gaps && pace.slow_gaps * k_gaps_per_slow_gap > pace.gaps;
}

bool is_persistently_slow(const token_latency& pace) {
    return pace.gaps >= k_min_gaps_in_progress && pace.slow_gaps * 2 > pace.gaps;
}

} // namespace lovage
