#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/generation.h"
#include "lovage/core/ids.h"

#include <cstdint>
#include <vector>

namespace lovage {

/// The accepted tokens of one answer, that is, of the response to one generation request. Only messages of
/// the current `attempt` change it.
struct answer_log {
    request_id request;
    answer_id answer;
    /// The attempt in progress; 0 before the first attempt is dispatched.
    attempt_number attempt = 0;
    std::vector<token> tokens;
    bool finished = false;
    finish_reason reason = finish_reason::stop;
};

/// The result of applying a message to an answer log.
enum class log_outcome : std::uint8_t {
    /// At least one token was added, or the message carried none.
    accepted,
    /// All its tokens had been accepted before.
    repeated,
    /// It belongs to another answer or attempt.
    other_attempt,
    /// Tokens before it are missing, or its total differs from the number of accepted tokens.
    gap,
    /// The end-of-answer message was accepted.
    finished,
    /// It arrived after the end-of-answer message.
    after_final,
};
inline constexpr std::size_t k_log_outcome_count = 6;
inline constexpr enum_names<k_log_outcome_count> k_log_outcome_names{"accepted", "repeated", "other_attempt",
                                                                     "gap",      "finished", "after_final"};
static_assert(static_cast<std::size_t>(log_outcome::after_final) + 1 == k_log_outcome_count);

/// Appends the `tokens` of attempt `ref`, the first of which has index `first`. Tokens at indexes that were
/// accepted before are skipped; on a gap nothing is added.
log_outcome accept_tokens(answer_log& log, const attempt_ref& ref, token_index first,
                          const std::vector<token>& tokens);

/// Marks the answer as finished if `total` is the number of accepted tokens; otherwise reports a gap.
log_outcome accept_final(answer_log& log, const attempt_ref& ref, token_index total, finish_reason reason);

/// Returns whether `tokens` begin with all tokens of `log`, so that they continue the same text.
bool continues(const answer_log& log, const std::vector<token>& tokens);

/// Returns the size of the accepted text in bytes.
std::size_t text_bytes(const answer_log& log);

} // namespace lovage
