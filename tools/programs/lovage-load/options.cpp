#include "options.h"

#include <cstdlib>
#include <limits>
#include <memory>
#include <popt.h>
#include <sstream>
#include <utility>

namespace lovage::load {

namespace {

enum option_value : int { k_option_entry = 1, k_option_ledger };

// Requests of a load without a duration.
constexpr long long k_default_requests = 100;
// Value of an integer option that was not given.
constexpr long long k_not_given = std::numeric_limits<long long>::min();

struct context_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_ptr = std::unique_ptr<poptContext_s, context_deleter>;

struct free_deleter {
    void operator()(char* text) const { std::free(text); }
};

// The C variables that popt writes into. `to_options` validates and converts them.
struct raw_options {
    // The last value of an option that may be given several times, and the comma-separated lists of all
    // values.
    char* address = nullptr;
    std::string entries;
    std::string ledgers;
    char* mode = nullptr;
    char* organisations = nullptr;
    char* service = nullptr;
    char* path = nullptr;
    char* model = nullptr;
    char* version = nullptr;
    char* adapter = nullptr;
    char* priority = nullptr;
    char* key_prefix = nullptr;
    char* records = nullptr;
    long long seed = 1;
    long long requests = k_not_given;
    int duration_ms = 0;
    int concurrency = 10;
    double rate = 0.0;
    int threads = 2;
    int prompt_bytes = 200;
    int prefixes = 0;
    int max_tokens = 100;
    double long_share = 0.0;
    int long_tokens = 2'000;
    double stop_share = 0.0;
    int deadline_ms = 0;
    int connect_ms = 500;
    int silence_ms = 3'000;
    int patience_ms = 0;
    int give_up_ms = 60'000;
    int max_attempts = 0;
    int interrupted_gap_ms = 200;
    int ledger_wait_ms = 1'000;
    int stops_on_refusal = 0;
    int stops_on_not_run = 0;
    int requires_completion = 0;
    int direct_engine = 0;
    int prints_version = 0;
};

std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

// Returns the string of an option, or `fallback` if it was not given. Frees the memory that popt allocated.
std::string take_popt_string(char* text, const std::string& fallback) {
    const std::unique_ptr<char, free_deleter> owner(text);
    return text != nullptr ? std::string(text) : fallback;
}

result<std::vector<organisation_weight>> read_organisations(const std::string& text) {
    std::vector<organisation_weight> organisations;
    for (const auto& item : split(text, ',')) {
        const auto parts = split(item, ':');
        organisation_weight organisation;
        organisation.name = parts.at(0);
        if (parts.size() > 1) {
            std::istringstream number(parts[1]);
            number >> organisation.weight;
            if (!number || organisation.weight <= 0.0) {
                return fail(error_kind::invalid_settings, "--organisations: not a weight: " + parts[1]);
            }
        }
        organisations.push_back(organisation);
    }
    if (organisations.empty()) {
        return fail(error_kind::invalid_settings, "--organisations: no name");
    }
    return organisations;
}

struct range_check {
    const char* option;
    double value;
    double low;
    double high;
};

result<void> check_ranges(const raw_options& raw) {
    constexpr double large = 1e9;
    const range_check checks[] = {
        {"--seed", static_cast<double>(raw.seed), 0, 1e18},
        {"--requests", static_cast<double>(raw.requests), 0, 1e15},
        {"--duration-ms", static_cast<double>(raw.duration_ms), 0, large},
        {"--concurrency", static_cast<double>(raw.concurrency), 1, 100'000},
        {"--rate", raw.rate, 0, 1e6},
        {"--threads", static_cast<double>(raw.threads), 1, 64},
        {"--prompt-bytes", static_cast<double>(raw.prompt_bytes), 1, large},
        {"--prefixes", static_cast<double>(raw.prefixes), 0, large},
        {"--max-tokens", static_cast<double>(raw.max_tokens), 1, large},
        {"--long-share", raw.long_share, 0, 1},
        {"--long-tokens", static_cast<double>(raw.long_tokens), 1, large},
        {"--stop-share", raw.stop_share, 0, 1},
        {"--deadline-ms", static_cast<double>(raw.deadline_ms), 0, large},
        {"--connect-ms", static_cast<double>(raw.connect_ms), 1, large},
        {"--silence-ms", static_cast<double>(raw.silence_ms), 1, large},
        {"--patience-ms", static_cast<double>(raw.patience_ms), 0, large},
        {"--give-up-ms", static_cast<double>(raw.give_up_ms), 1, large},
        {"--max-attempts", static_cast<double>(raw.max_attempts), 0, large},
        {"--interrupted-gap-ms", static_cast<double>(raw.interrupted_gap_ms), 0, large},
        {"--ledger-wait-ms", static_cast<double>(raw.ledger_wait_ms), 0, large},
    };
    for (const auto& check : checks) {
        if (check.value < check.low || check.value > check.high) {
            std::ostringstream detail;
            detail << check.option << ": expected a value in " << check.low << ".." << check.high;
            return fail(error_kind::invalid_settings, detail.str());
        }
    }
    if (raw.requests == 0 && raw.duration_ms == 0) {
        return fail(error_kind::invalid_settings, "--requests and --duration-ms cannot both be 0");
    }
    return {};
}

// Validates and converts the options. All strings are taken first, so that they are freed also after an
// error.
result<load_options> to_options(const raw_options& raw) {
    load_options options;
    const auto mode_name = take_popt_string(raw.mode, "stream");
    const auto organisations = take_popt_string(raw.organisations, "org-1");
    options.service = take_popt_string(raw.service, options.service);
    options.path = take_popt_string(raw.path, options.path);
    options.model = take_popt_string(raw.model, options.model);
    options.version = take_popt_string(raw.version, options.version);
    options.adapter = take_popt_string(raw.adapter, "");
    options.priority = take_popt_string(raw.priority, "");
    options.key_prefix = take_popt_string(raw.key_prefix, "load-" + std::to_string(raw.seed));
    options.records_path = take_popt_string(raw.records, "");
    options.ledgers = split(raw.ledgers, ',');

    const auto mode = value_of<request_mode>(k_request_mode_names, mode_name);
    if (!mode) {
        return fail(error_kind::invalid_settings, "--mode: unknown mode " + mode_name);
    }
    options.mode = raw.direct_engine != 0 ? request_mode::direct_engine : *mode;
    for (const auto& address : split(raw.entries, ',')) {
        const auto parsed = parse_endpoint(address);
        if (!parsed) {
            return tl::unexpected<error>(parsed.error());
        }
        options.entries.push_back(*parsed);
    }
    if (options.entries.empty()) {
        return fail(error_kind::invalid_settings, "--entry: expected IP:PORT");
    }
    auto weights = read_organisations(organisations);
    if (!weights) {
        return tl::unexpected<error>(weights.error());
    }
    options.organisations = *weights;
    if (const auto checked = check_ranges(raw); !checked) {
        return tl::unexpected<error>(checked.error());
    }
    options.seed = static_cast<std::uint64_t>(raw.seed);
    options.requests = static_cast<std::uint64_t>(raw.requests);
    options.duration = milliseconds(raw.duration_ms);
    options.concurrency = static_cast<std::uint32_t>(raw.concurrency);
    options.rate = raw.rate;
    options.threads = static_cast<std::uint32_t>(raw.threads);
    options.prompt_bytes = static_cast<std::uint32_t>(raw.prompt_bytes);
    options.prefixes = static_cast<std::uint32_t>(raw.prefixes);
    options.max_tokens = static_cast<std::uint32_t>(raw.max_tokens);
    options.long_share = raw.long_share;
    options.long_tokens = static_cast<std::uint32_t>(raw.long_tokens);
    options.stop_share = raw.stop_share;
    options.deadline = milliseconds(raw.deadline_ms);
    options.connect_timeout = milliseconds(raw.connect_ms);
    options.silence = milliseconds(raw.silence_ms);
    options.token_timeout = milliseconds(raw.patience_ms);
    options.request_timeout = milliseconds(raw.give_up_ms);
    options.max_attempts = static_cast<std::uint32_t>(raw.max_attempts);
    options.interrupted_gap = milliseconds(raw.interrupted_gap_ms);
    options.ledger_wait = milliseconds(raw.ledger_wait_ms);
    options.stops_on_refusal = raw.stops_on_refusal != 0;
    options.stops_on_not_run = raw.stops_on_not_run != 0;
    options.requires_completion = raw.requires_completion != 0;
    return options;
}

} // namespace

result<command_line> read_options(int argc, const char** argv) {
    raw_options raw;
    const poptOption options[] = {
        {"entry", 'e', POPT_ARG_STRING, &raw.address, k_option_entry,
         "address of an entry (gateway), or of an engine or service in direct modes; may be given several "
         "times",
         "IP:PORT,..."},
        {"mode", 'm', POPT_ARG_STRING, &raw.mode, 0,
         "stream, whole, lookup, post, direct-engine, direct-lookup or direct-post", "MODE"},
        {"direct-engine", 0, POPT_ARG_NONE, &raw.direct_engine, 0, "same as --mode direct-engine", nullptr},
        {"requests", 'n', POPT_ARG_LONGLONG, &raw.requests, 0,
         "requests in total; 0: no limit; default 100, or no limit with --duration-ms", "N"},
        {"duration-ms", 'd', POPT_ARG_INT, &raw.duration_ms, 0, "how long to start requests; 0: no limit",
         "MS"},
        {"concurrency", 'c', POPT_ARG_INT, &raw.concurrency, 0,
         "requests at a time; with --rate the highest number of open requests", "N"},
        {"rate", 'r', POPT_ARG_DOUBLE, &raw.rate, 0, "requests started per second (open loop)", "R"},
        {"threads", 0, POPT_ARG_INT, &raw.threads, 0, "I/O threads", "N"},
        {"seed", 's', POPT_ARG_LONGLONG, &raw.seed, 0, "random seed of prompts, organisations and intervals",
         "N"},
        {"organisations", 'o', POPT_ARG_STRING, &raw.organisations, 0, "organisations with their weights",
         "NAME[:WEIGHT],..."},
        {"service", 0, POPT_ARG_STRING, &raw.service, 0, "service name (route)", "NAME"},
        {"path", 0, POPT_ARG_STRING, &raw.path, 0, "path for --mode post", "PATH"},
        {"model", 0, POPT_ARG_STRING, &raw.model, 0, "model for direct-engine", "NAME"},
        {"engine-version", 0, POPT_ARG_STRING, &raw.version, 0, "model version for direct-engine", "NAME"},
        {"adapter", 0, POPT_ARG_STRING, &raw.adapter, 0, "adapter", "NAME"},
        {"priority", 0, POPT_ARG_STRING, &raw.priority, 0, "interactive, standard or batch", "NAME"},
        {"key-prefix", 0, POPT_ARG_STRING, &raw.key_prefix, 0, "start of the idempotency keys", "TEXT"},
        {"prompt-bytes", 0, POPT_ARG_INT, &raw.prompt_bytes, 0, "length of the prompts", "N"},
        {"prefixes", 0, POPT_ARG_INT, &raw.prefixes, 0,
         "number of shared prompt prefixes (3/4 of the prompt)", "N"},
        {"max-tokens", 't', POPT_ARG_INT, &raw.max_tokens, 0, "tokens per answer", "N"},
        {"long-share", 0, POPT_ARG_DOUBLE, &raw.long_share, 0, "share of requests with --long-tokens", "X"},
        {"long-tokens", 0, POPT_ARG_INT, &raw.long_tokens, 0, "tokens per long answer", "N"},
        {"stop-share", 0, POPT_ARG_DOUBLE, &raw.stop_share, 0, "share of prompts whose answers stop early",
         "X"},
        {"deadline-ms", 0, POPT_ARG_INT, &raw.deadline_ms, 0, "X-Deadline-Ms; 0: none", "MS"},
        {"connect-ms", 0, POPT_ARG_INT, &raw.connect_ms, 0, "time limit of a connection attempt", "MS"},
        {"silence-ms", 0, POPT_ARG_INT, &raw.silence_ms, 0, "retry if no byte arrives for this long", "MS"},
        {"patience-ms", 0, POPT_ARG_INT, &raw.patience_ms, 0,
         "retry if no token arrives for this long; 0: never", "MS"},
        {"give-up-ms", 0, POPT_ARG_INT, &raw.give_up_ms, 0, "time limit of a request with all retries", "MS"},
        {"max-attempts", 0, POPT_ARG_INT, &raw.max_attempts, 0, "attempts per request; 0: no limit", "N"},
        {"keep-refusals", 0, POPT_ARG_NONE, &raw.stops_on_refusal, 0, "do not retry after 429 and 503",
         nullptr},
        {"stop-on-not-run", 0, POPT_ARG_NONE, &raw.stops_on_not_run, 0, "do not retry after not_run: true",
         nullptr},
        {"require-completion", 0, POPT_ARG_NONE, &raw.requires_completion, 0,
         "exit 3 if a request was not completed", nullptr},
        {"interrupted-gap-ms", 0, POPT_ARG_INT, &raw.interrupted_gap_ms, 0,
         "answers with a longer gap count as interrupted", "MS"},
        {"records", 0, POPT_ARG_STRING, &raw.records, 0, "write one JSON line for each request", "FILE"},
        {"ledger", 0, POPT_ARG_STRING, &raw.address, k_option_ledger,
         "stand-in for a plain service whose ledger is compared with the outcomes; may be given several "
         "times",
         "IP:PORT,..."},
        {"ledger-wait-ms", 0, POPT_ARG_INT, &raw.ledger_wait_ms, 0, "wait before the ledgers are read", "MS"},
        {"version", 0, POPT_ARG_NONE, &raw.prints_version, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const context_ptr context(poptGetContext("lovage-load", argc, argv, options, 0));
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        std::string& list = code == k_option_entry ? raw.entries : raw.ledgers;
        list += take_popt_string(std::exchange(raw.address, nullptr), "") + ",";
    }
    if (code < -1) {
        return fail(error_kind::invalid_settings,
                    std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));
    }
    if (poptPeekArg(context.get()) != nullptr) {
        return fail(error_kind::invalid_settings,
                    std::string("unexpected argument ") + poptPeekArg(context.get()));
    }
    command_line line;
    line.prints_version = raw.prints_version != 0;
    if (line.prints_version) {
        return line;
    }
    if (raw.requests == k_not_given) {
        raw.requests = raw.duration_ms == 0 ? k_default_requests : 0;
    }
    auto read = to_options(raw);
    if (!read) {
        return tl::unexpected<error>(read.error());
    }
    line.options = *read;
    return line;
}

} // namespace lovage::load
