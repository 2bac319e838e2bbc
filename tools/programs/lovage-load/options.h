#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovage::load {

/// Kind of request that the load generator sends. An entry is a gateway process that callers connect to.
enum class request_mode : std::uint8_t {
    /// Generation whose answer is a stream of server-sent events.
    stream,
    /// Generation whose answer is one JSON object.
    whole,
    /// Idempotent call of a plain service, that is one without a model.
    lookup,
    /// Non-idempotent call of a plain service.
    post,
    /// Generation sent directly to an engine instead of an entry, for a baseline.
    direct_engine,
    /// Calls sent directly to a plain service instead of an entry, for a baseline.
    direct_lookup,
    direct_post,
};
inline constexpr std::size_t k_request_mode_count = 7;
inline constexpr enum_names<k_request_mode_count> k_request_mode_names{
    "stream", "whole", "lookup", "post", "direct-engine", "direct-lookup", "direct-post"};

/// An organisation and its weight in the random choice of each request's organisation.
struct organisation_weight {
    std::string name;
    double weight = 1.0;
};

/// Settings of a run, one for each option of the command line.
struct load_options {
    request_mode mode = request_mode::stream;
    /// Addresses that requests are sent to: entries, or the engines or services of the direct modes.
    std::vector<endpoint> entries;
    std::vector<organisation_weight> organisations;
    std::string service = "history-summaries";
    std::string path = "listings";
    std::string model = "history";
    std::string version = "v1";
    std::string adapter;
    std::string priority;
    std::string key_prefix;
    std::uint64_t seed = 1;
    /// Requests in total; 0 for no limit.
    std::uint64_t requests = 0;
    /// Time during which requests are started; 0 for no limit.
    milliseconds duration{0};
    /// Most requests that are open at a time.
    std::uint32_t concurrency = 10;
    /// Requests started per second with exponentially distributed intervals (open loop); 0 for a closed loop
    /// that keeps `concurrency` requests open.
    double rate = 0.0;
    std::uint32_t threads = 2;
    std::uint32_t prompt_bytes = 200;
    /// Number of prompt prefixes that requests share, for hits of the prefix cache; 0 for none.
    std::uint32_t prefixes = 0;
    std::uint32_t max_tokens = 100;
    /// Fraction of requests with `long_tokens` instead of `max_tokens`.
    double long_share = 0.0;
    std::uint32_t long_tokens = 2'000;
    /// Fraction of prompts whose answers end early.
    double stop_share = 0.0;
    /// Deadline that requests state in `X-Deadline-Ms`; 0 for none.
    milliseconds deadline{0};
    milliseconds connect_timeout{500};
    /// Timeouts after which a request is retried: without a received byte, and without a token (0 for none).
    milliseconds silence{3'000};
    milliseconds token_timeout{0};
    /// Timeout of a request with all its retries.
    milliseconds request_timeout{60'000};
    /// Attempts of a request; 0 for no limit.
    std::uint32_t max_attempts = 0;
    /// Whether a response with status 429 or 503 ends a request without a retry.
    bool stops_on_refusal = false;
    /// Whether an error with `not_run: true` ends a request without a retry.
    bool stops_on_not_run = false;
    /// Whether the exit code is 3 if a request was not completed.
    bool requires_completion = false;
    /// An answer with a longer time between two tokens counts as interrupted.
    milliseconds interrupted_gap{200};
    /// File for one JSON line per request; empty for none.
    std::string records_path;
    /// Addresses of the lovage-fake-service processes whose ledgers are compared with the outcomes.
    std::vector<std::string> ledgers;
    /// Wait for calls that still run before the ledgers are read.
    milliseconds ledger_wait{1'000};
};

/// The parsed command line.
struct command_line {
    load_options options;
    /// Whether the process should only print its version; `options` is then not set.
    bool prints_version = false;
};

/// Parses the command line. Fails with `invalid_settings`.
result<command_line> read_options(int argc, const char** argv);

} // namespace lovage::load
