#pragma once

#include "lovage/core/enum_names.h"
#include "standins/fake_text.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lovage::standins {

/// Kinds of errors in an answer that a caller received.
enum class violation : std::uint8_t {
    /// A token index was skipped.
    missing,
    /// A token index was received twice.
    repeated,
    /// The answer or its model version changed without an `event: restart`, so tokens of two texts are mixed.
    mixed,
    /// The text of a token is not the one that `fake_token` gives for the announced version.
    wrong_text,
    /// `event: done` came too early or too late, or had the wrong total or finish reason.
    wrong_end,
    /// The event id is not "ANSWER:NEXT_INDEX".
    wrong_id,
    /// The response belongs to another request.
    wrong_request,
};
inline constexpr std::size_t k_violation_count = 7;
inline constexpr enum_names<k_violation_count> k_violation_names{
    "missing", "repeated", "mixed", "wrong_text", "wrong_end", "wrong_id", "wrong_request"};

/// State of the check of one answer against the deterministic text of fake_text.h. It lasts over all
/// connections that the caller uses for the answer. Not thread-safe.
struct answer_check {
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint32_t max_tokens = 0;
    /// Id of the answer and model version that generates it; empty before the first `event: answer`.
    std::string answer;
    std::string version;
    /// Index of the next expected token.
    token_index next = 0;
    std::uint32_t restarts = 0;
    bool is_done = false;
    /// Whether another answer was announced after tokens had been received, and the restart event that must
    /// follow has not arrived.
    bool needs_restart = false;
    std::array<std::uint32_t, k_violation_count> violations{};
};

inline void add_violation(answer_check& check, violation kind) {
    ++check.violations.at(static_cast<std::size_t>(kind));
}

inline bool has_violations(const answer_check& check) {
    for (const auto count : check.violations) {
        if (count > 0) {
            return true;
        }
    }
    return false;
}

/// Handles `event: answer`, which announces that tokens of `answer` follow, starting at index `from`.
inline void on_answer(answer_check& check, const std::string& answer, const std::string& version,
                      token_index from) {
    const bool is_other_answer = !check.answer.empty() && check.answer != answer;
    // Before the first token there is no text that the new answer could be mixed with.
    check.needs_restart = is_other_answer && check.next > 0;
    if (!check.needs_restart) {
        if (!is_other_answer && !check.version.empty() && check.version != version) {
            add_violation(check, violation::mixed);
        }
        if (from < check.next) {
            add_violation(check, violation::repeated);
        } else if (from > check.next) {
            add_violation(check, violation::missing);
        }
    }
    check.answer = answer;
    check.version = version;
}

/// Handles `event: restart`: the tokens received so far are discarded and `answer` starts at token 0. An
/// `event: answer` before or after it names the version.
inline void on_restart(answer_check& check, const std::string& answer) {
    if (answer != check.answer) {
        check.version.clear();
    }
    check.answer = answer;
    check.next = 0;
    check.needs_restart = false;
    ++check.restarts;
}

/// Handles `event: token`. `id` is the id of the event, empty if it had none.
inline void on_token(answer_check& check, token_index index, const token& text, const std::string& id) {
    if (check.needs_restart) {
        add_violation(check, violation::mixed);
        check.needs_restart = false;
        check.next = index;
    }
    if (index < check.next) {
        add_violation(check, violation::repeated);
    } else if (index > check.next) {
        add_violation(check, violation::missing);
    }
    if (text != fake_token(check.version, check.prompt, check.seed, index)) {
        add_violation(check, violation::wrong_text);
    }
    if (!id.empty() && id != check.answer + ":" + std::to_string(index + 1)) {
        add_violation(check, violation::wrong_id);
    }
    check.next = index < check.next ? check.next : index + 1;
}

/// Handles `event: done`, which ends the answer and states its number of tokens and finish reason.
inline void on_done(answer_check& check, token_index total, std::string_view reason) {
    const fake_completion end =
        fake_text_completion(check.version, check.prompt, check.seed, check.max_tokens);
    if (check.needs_restart) {
        add_violation(check, violation::mixed);
    }
    if (check.next != end.total || total != end.total ||
        reason != name_of(k_finish_reason_names, end.reason)) {
        add_violation(check, violation::wrong_end);
    }
    check.is_done = true;
}

} // namespace lovage::standins
