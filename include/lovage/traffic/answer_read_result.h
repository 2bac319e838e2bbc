#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/generation.h"
#include "lovage/core/ids.h"
#include "lovage/core/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovage {

/// Kind of result that one read of an answer returns.
enum class read_result_kind : std::uint8_t {
    /// Nothing new within the wait.
    idle,
    /// The answer has been chosen; its tokens follow.
    started,
    /// A different answer follows; the caller must discard the text that it has.
    restarted,
    tokens,
    finished,
    failed,
};
inline constexpr std::size_t k_read_result_kind_count = 6;
inline constexpr enum_names<k_read_result_kind_count> k_read_result_kind_names{
    "idle", "started", "restarted", "tokens", "finished", "failed"};
static_assert(static_cast<std::size_t>(read_result_kind::failed) + 1 == k_read_result_kind_count);

struct answer_read_result {
    read_result_kind kind = read_result_kind::idle;
    answer_id answer;
    std::string model_version;
    /// Index of the first token, or the number of tokens for `finished`.
    token_index first = 0;
    std::vector<token> tokens;
    finish_reason reason = finish_reason::stop;
    /// For `failed`.
    error failure;
    bool not_run = false;
};

/// A caller's read position in the answer of a session.
struct answer_cursor {
    /// The answer from which the caller already has tokens; 0 for none.
    answer_id answer;
    token_index next = 0;
    /// Epoch of the session's text (see `answer_session`) that `next` refers to; 0 before the first read.
    std::uint32_t epoch = 0;
    /// Tokens are forwarded to the caller as they are read, so that switching to a different answer requires
    /// a visible restart. False if the answer is collected first.
    bool streamed = true;
};

} // namespace lovage
