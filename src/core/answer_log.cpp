#include "lovage/core/answer_log.h"

#include <algorithm>
#include <numeric>

namespace lovage {

namespace {

bool is_current(const answer_log& log, const attempt_ref& ref) {
    return ref == attempt_ref{log.request, log.answer, log.attempt};
}

} // namespace

log_outcome accept_tokens(answer_log& log, const attempt_ref& ref, token_index first,
                          const std::vector<token>& tokens) {
    if (!is_current(log, ref)) {
        return log_outcome::other_attempt;
    }
    if (log.finished) {
        return log_outcome::after_final;
    }
    const std::size_t accepted_count = log.tokens.size();
    if (first > accepted_count) {
        return log_outcome::gap;
    }
    const std::size_t already_accepted = accepted_count - first;
    if (already_accepted >= tokens.size()) {
        return tokens.empty() ? log_outcome::accepted : log_outcome::repeated;
    }
    log.tokens.insert(log.tokens.end(), tokens.begin() + static_cast<std::ptrdiff_t>(already_accepted),
                      tokens.end());
    return log_outcome::accepted;
}

log_outcome accept_final(answer_log& log, const attempt_ref& ref, token_index total, finish_reason reason) {
    if (!is_current(log, ref)) {
        return log_outcome::other_attempt;
    }
    if (log.finished) {
        return log_outcome::after_final;
    }
    if (total != log.tokens.size()) {
        return log_outcome::gap;
    }
    log.finished = true;
    log.reason = reason;
    return log_outcome::finished;
}

bool continues(const answer_log& log, const std::vector<token>& tokens) {
    return tokens.size() >= log.tokens.size() &&
           std::equal(log.tokens.begin(), log.tokens.end(), tokens.begin());
}

std::size_t text_bytes(const answer_log& log) {
    return std::accumulate(log.tokens.begin(), log.tokens.end(), std::size_t{0},
                           [](std::size_t sum, const token& text) { return sum + text.size(); });
}

} // namespace lovage
