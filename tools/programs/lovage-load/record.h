#pragma once

#include "lovage/core/enum_names.h"
#include "standins/answer_check.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lovage::load {

/// How a request ended from the caller's view.
enum class outcome : std::uint8_t {
    /// The complete answer was received, whether correct or not.
    complete,
    /// Refused with `not_run: true`, which guarantees that the request had no effect.
    refused_not_run,
    /// Refused with status 429 or 503 without that guarantee.
    refused,
    /// The response was the error `outcome_unknown`: the request may have run or not.
    unknown,
    /// Another error that must not be retried, or the time or attempts of the request were used up.
    failed,
    /// The load generator was stopped by a signal.
    stopped,
};
inline constexpr std::size_t k_outcome_count = 6;
inline constexpr enum_names<k_outcome_count> k_outcome_names{"complete", "refused_not_run", "refused",
                                                             "unknown",  "failed",          "stopped"};

/// Why a request was retried. `silence` is a timeout.
enum class retry_cause : std::uint8_t { no_connection, lost_connection, silence, refused, error_answer };
inline constexpr std::size_t k_retry_cause_count = 5;
inline constexpr enum_names<k_retry_cause_count> k_retry_cause_names{"no_connection", "lost_connection",
                                                                     "silence", "refused", "error_answer"};

/// Result of one request as its caller saw it, over all attempts.
struct request_record {
    std::uint64_t number = 0;
    std::string key;
    std::string organisation;
    std::string version;
    load::outcome outcome = outcome::failed;
    /// Kind of the last error response; empty if there was none.
    std::string error_kind;
    std::uint32_t attempts = 0;
    std::uint32_t restarts = 0;
    std::array<std::uint32_t, k_retry_cause_count> retries{};
    std::array<std::uint32_t, standins::k_violation_count> violations{};
    bool has_violations = false;
    /// When the request was due, since the start of the run.
    std::uint64_t started_us = 0;
    std::uint64_t total_us = 0;
    bool has_first_token = false;
    /// Time from `started_us` to the first token.
    std::uint32_t first_token_us = 0;
    /// Times between tokens.
    std::vector<std::uint32_t> gaps_us;
    std::uint32_t longest_gap_us = 0;
    std::uint64_t tokens = 0;
};

} // namespace lovage::load
