#pragma once

#include "options.h"
#include "record.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lovage::load {

/// Latencies of a group of requests, in microseconds.
struct time_samples {
    std::vector<std::uint32_t> first_token_us;
    std::vector<std::uint32_t> total_us;
};

/// Result of the comparison of the outcomes with the call ledgers of the plain services.
struct ledger_findings {
    bool was_read = false;
    /// Calls in the ledgers that belong to requests of this run.
    std::uint64_t calls = 0;
    /// Requests that ran more than once.
    std::uint64_t ran_twice = 0;
    /// Requests whose outcome was `refused_not_run` but that are in a ledger.
    std::uint64_t not_run_but_ran = 0;
    /// Requests whose outcome was `complete` but that are in no ledger.
    std::uint64_t complete_but_not_run = 0;
};

/// Totals and samples over all requests of a run.
struct load_report {
    std::uint64_t requests = 0;
    /// Requests whose answer had violations.
    std::uint64_t wrong = 0;
    std::uint64_t attempts = 0;
    std::uint64_t restarts = 0;
    std::uint64_t tokens = 0;
    /// Requests that were due while `concurrency` requests were open, and were dropped.
    std::uint64_t not_started = 0;
    std::array<std::uint64_t, k_outcome_count> outcomes{};
    std::array<std::uint64_t, k_retry_cause_count> retries{};
    std::array<std::uint64_t, standins::k_violation_count> violations{};
    std::map<std::string, std::uint64_t> error_kinds;
    std::map<std::string, std::uint64_t> versions;
    std::map<std::string, std::array<std::uint64_t, k_outcome_count>> organisation_outcomes;
    std::map<std::string, time_samples> organisations;
    time_samples all;
    std::vector<std::uint32_t> gaps_us;
    /// The longest gap of each answer, and of these the ones above `load_options::interrupted_gap`.
    std::vector<std::uint32_t> longest_gaps_us;
    std::vector<std::uint32_t> interrupted_us;
    ledger_findings ledger;
};

/// Adds a finished request to the report.
void add(load_report& report, const request_record& record, const load_options& options);

/// Returns one line of the records file.
nlohmann::json to_json(const request_record& record);

/// Returns the report as JSON. `elapsed` is the duration of the whole run. Sorts the samples of `report`.
nlohmann::json to_json(load_report& report, const load_options& options, milliseconds elapsed);

} // namespace lovage::load
