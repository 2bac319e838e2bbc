#include "lovage/core/token_latency.h"

namespace lovage {

namespace {

// The objective allows 1 slow gap in 20.
constexpr std::uint64_t k_gaps_per_slow_gap = 20;
constexpr std::uint64_t k_min_slow_gaps = 2;
// An answer in progress with fewer gaps is not evaluated.
constexpr std::uint64_t k_min_gaps_in_progress = 8;

} // namespace

token_latency begin_token_latency(time_point now, bool is_resume) {
    token_latency latency;
    latency.started = now;
    latency.last = now;
    latency.has_received_first_token = is_resume;
    return latency;
}

void add_tokens(token_latency& latency, std::size_t count, const objective& latency_objective,
                time_point now) {
    if (count == 0) {
        return;
    }
    auto gaps = static_cast<std::uint64_t>(count);
    if (!latency.has_received_first_token) {
        latency.is_first_token_slow = is_first_token_overdue(latency, latency_objective, now);
        latency.has_received_first_token = true;
        // Tokens that arrive together with the first one followed it without delay.
        latency.gaps += gaps - 1;
    } else {
        latency.gaps += gaps;
        if ((now - latency.last) / static_cast<std::int64_t>(gaps) >
            milliseconds(latency_objective.token_gap_ms)) {
            latency.slow_gaps += gaps;
        }
    }
    latency.last = now;
}

bool is_first_token_overdue(const token_latency& latency, const objective& latency_objective,
                            time_point now) {
    return !latency.has_received_first_token &&
           now - latency.started > milliseconds(latency_objective.first_token_ms);
}

bool has_slow_gaps(const token_latency& latency) {
    return latency.slow_gaps >= k_min_slow_gaps && latency.slow_gaps * k_gaps_per_slow_gap > latency.gaps;
}

bool is_persistently_slow(const token_latency& latency) {
    return latency.gaps >= k_min_gaps_in_progress && latency.slow_gaps * 2 > latency.gaps;
}

} // namespace lovage
