#include "lovage/core/answer_pace.h"

namespace lovage {

namespace {

// The objective allows 1 slow gap in 20.
constexpr std::uint64_t k_gaps_per_slow_gap = 20;
constexpr std::uint64_t k_min_slow_gaps = 2;
// An answer in progress with fewer gaps is not judged.
constexpr std::uint64_t k_min_gaps_in_progress = 8;

} // namespace

answer_pace start_pace(time_point now, bool is_resume) {
    answer_pace pace;
    pace.started = now;
    pace.last = now;
    pace.has_first = is_resume;
    return pace;
}

void add_tokens(answer_pace& pace, std::size_t count, const objective& latency_objective, time_point now) {
    if (count == 0) {
        return;
    }
    auto gaps = static_cast<std::uint64_t>(count);
    if (!pace.has_first) {
        pace.is_first_slow = is_first_overdue(pace, latency_objective, now);
        pace.has_first = true;
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

bool is_first_overdue(const answer_pace& pace, const objective& latency_objective, time_point now) {
    return !pace.has_first && now - pace.started > milliseconds(latency_objective.first_token_ms);
}

bool has_slow_gaps(const answer_pace& pace) {
    return pace.slow_gaps >= k_min_slow_gaps && pace.slow_gaps * k_gaps_per_slow_gap > pace.gaps;
}

bool is_clearly_slow(const answer_pace& pace) {
    return pace.gaps >= k_min_gaps_in_progress && pace.slow_gaps * 2 > pace.gaps;
}

} // namespace lovage
