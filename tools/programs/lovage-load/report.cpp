#include "report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace lovage::load {

namespace {

using nlohmann::json;

constexpr double k_us_per_ms = 1'000.0;

template <class Value, std::size_t Count>
json named_counts(const enum_names<Count>& names, const std::array<Value, Count>& counts) {
    json object = json::object();
    for (std::size_t i = 0; i < Count; ++i) {
        object[std::string(names[i])] = counts[i];
    }
    return object;
}

// Returns count, mean, nearest-rank percentiles and maximum of samples in microseconds, as milliseconds.
// Sorts the samples.
json distribution(std::vector<std::uint32_t>& samples) {
    json object = {{"count", samples.size()}};
    if (samples.empty()) {
        return object;
    }
    std::sort(samples.begin(), samples.end());
    const auto rank = [&samples](std::size_t percent) {
        const std::size_t position = (samples.size() * percent + 99) / 100;
        return samples[std::max<std::size_t>(position, 1) - 1] / k_us_per_ms;
    };
    const auto sum = std::accumulate(samples.begin(), samples.end(), std::uint64_t{0});
    object["mean_ms"] = static_cast<double>(sum) / static_cast<double>(samples.size()) / k_us_per_ms;
    object["p50_ms"] = rank(50);
    object["p95_ms"] = rank(95);
    object["p99_ms"] = rank(99);
    object["max_ms"] = samples.back() / k_us_per_ms;
    return object;
}

void add_samples(time_samples& samples, const request_record& record) {
    if (record.has_first_token) {
        samples.first_token_us.push_back(record.first_token_us);
    }
    if (record.outcome == outcome::complete) {
        samples.total_us.push_back(static_cast<std::uint32_t>(record.total_us));
    }
}

} // namespace

void add(load_report& report, const request_record& record, const load_options& options) {
    ++report.requests;
    report.wrong += record.has_violations ? 1 : 0;
    report.attempts += record.attempts;
    report.restarts += record.restarts;
    report.tokens += record.tokens;
    ++report.outcomes.at(static_cast<std::size_t>(record.outcome));
    ++report.organisation_outcomes[record.organisation].at(static_cast<std::size_t>(record.outcome));
    for (std::size_t i = 0; i < record.retries.size(); ++i) {
        report.retries.at(i) += record.retries.at(i);
    }
    for (std::size_t i = 0; i < record.violations.size(); ++i) {
        report.violations.at(i) += record.violations.at(i);
    }
    if (!record.error_kind.empty()) {
        ++report.error_kinds[record.error_kind];
    }
    if (record.tokens > 0) {
        ++report.versions[record.version];
    }
    add_samples(report.all, record);
    add_samples(report.organisations[record.organisation], record);
    report.gaps_us.insert(report.gaps_us.end(), record.gaps_us.begin(), record.gaps_us.end());
    if (!record.gaps_us.empty()) {
        report.longest_gaps_us.push_back(record.longest_gap_us);
        if (record.longest_gap_us > options.interrupted_gap.count() * 1'000) {
            report.interrupted_us.push_back(record.longest_gap_us);
        }
    }
}

json to_json(const request_record& record) {
    return {{"number", record.number},
            {"key", record.key},
            {"organisation", record.organisation},
            {"version", record.version},
            {"outcome", name_of(k_outcome_names, record.outcome)},
            {"error_kind", record.error_kind},
            {"wrong", record.has_violations},
            {"attempts", record.attempts},
            {"restarts", record.restarts},
            {"retries", named_counts(k_retry_cause_names, record.retries)},
            {"violations", named_counts(standins::k_violation_names, record.violations)},
            {"started_ms", static_cast<double>(record.started_us) / k_us_per_ms},
            {"total_ms", static_cast<double>(record.total_us) / k_us_per_ms},
            {"first_token_ms", record.has_first_token ? json(record.first_token_us / k_us_per_ms) : json()},
            {"longest_gap_ms", record.longest_gap_us / k_us_per_ms},
            {"tokens", record.tokens}};
}

json to_json(load_report& report, const load_options& options, milliseconds elapsed) {
    const double seconds = std::max(1e-3, static_cast<double>(elapsed.count()) / 1'000.0);
    json organisations = json::object();
    for (auto& [name, samples] : report.organisations) {
        organisations[name] = {
            {"outcomes", named_counts(k_outcome_names, report.organisation_outcomes[name])},
            {"first_token", distribution(samples.first_token_us)},
            {"total", distribution(samples.total_us)}};
    }
    json object = {{"mode", name_of(k_request_mode_names, options.mode)},
                   {"seed", options.seed},
                   {"elapsed_s", seconds},
                   {"requests", report.requests},
                   {"wrong", report.wrong},
                   {"attempts", report.attempts},
                   {"restarts", report.restarts},
                   {"not_started", report.not_started},
                   {"tokens", report.tokens},
                   {"tokens_per_s", static_cast<double>(report.tokens) / seconds},
                   {"requests_per_s", static_cast<double>(report.requests) / seconds},
                   {"outcomes", named_counts(k_outcome_names, report.outcomes)},
                   {"retries", named_counts(k_retry_cause_names, report.retries)},
                   {"violations", named_counts(standins::k_violation_names, report.violations)},
                   {"error_kinds", report.error_kinds},
                   {"versions", report.versions},
                   {"first_token", distribution(report.all.first_token_us)},
                   {"gap", distribution(report.gaps_us)},
                   {"longest_gap", distribution(report.longest_gaps_us)},
                   {"interrupted_gap", distribution(report.interrupted_us)},
                   {"total", distribution(report.all.total_us)},
                   {"organisations", organisations}};
    if (report.ledger.was_read) {
        object["ledger"] = {{"calls", report.ledger.calls},
                            {"ran_twice", report.ledger.ran_twice},
                            {"not_run_but_ran", report.ledger.not_run_but_ran},
                            {"complete_but_not_run", report.ledger.complete_but_not_run}};
    }
    return object;
}

} // namespace lovage::load
