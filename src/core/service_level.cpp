#include "lovage/core/service_level.h"

#include <algorithm>

namespace lovage {

namespace {

// For services that are not in the map of objectives.
constexpr double k_default_objective = 0.999;

std::int64_t bucket_index_at(time_point now) {
    return now.time_since_epoch() / burn_series::k_bucket_length;
}

} // namespace

void add_to_series(burn_series& series, bool honoured, time_point now) {
    const std::int64_t bucket_index = bucket_index_at(now);
    auto& bucket = series.buckets.at(static_cast<std::size_t>(bucket_index) % burn_series::k_buckets);
    if (bucket.bucket_index != bucket_index) {
        bucket = {bucket_index, 0, 0};
    }
    ++bucket.total;
    bucket.missed += honoured ? 0 : 1;
}

burn_counts counts_over(const burn_series& series, std::chrono::seconds window, time_point now) {
    const std::int64_t last = bucket_index_at(now);
    const auto wanted =
        (window + burn_series::k_bucket_length - std::chrono::seconds(1)) / burn_series::k_bucket_length;
    burn_counts counts;
    for (const auto& bucket : series.buckets) {
        if (bucket.bucket_index > last - wanted && bucket.bucket_index <= last) {
            counts.total += bucket.total;
            counts.missed += bucket.missed;
        }
    }
    return counts;
}

double burn_rate(const burn_counts& counts, double objective) {
    if (counts.total == 0) {
        return 0.0;
    }
    const double missed = static_cast<double>(counts.missed) / static_cast<double>(counts.total);
    // An objective of 1 allows no miss; the minimum budget keeps its burn rate finite.
    constexpr double min_budget = 1e-6;
    return missed / std::max(1.0 - objective, min_budget);
}

void record_request(service_level& level, const request_outcome& outcome, time_point now) {
    const burn_key key{outcome.service, outcome.organisation_class, outcome.route};
    add_to_series(level.series[key], outcome.honoured, now);
    ++level.requests;
    level.honoured += outcome.honoured ? 1 : 0;
    level.resumed += outcome.resumed ? 1 : 0;
    level.tokens += outcome.tokens;
    level.extra_tokens += outcome.extra_tokens;
}

std::vector<burn_line> burn_report(const service_level& level,
                                   const std::map<std::string, double>& objectives, time_point now) {
    std::vector<burn_line> lines;
    for (const auto& [key, series] : level.series) {
        burn_line line;
        line.key = key;
        const auto objective = objectives.find(key.service);
        line.objective = objective == objectives.end() ? k_default_objective : objective->second;
        line.short_counts = counts_over(series, k_short_burn_window, now);
        line.long_counts = counts_over(series, k_long_burn_window, now);
        line.short_burn = burn_rate(line.short_counts, line.objective);
        line.long_burn = burn_rate(line.long_counts, line.objective);
        line.budget_left = std::clamp(1.0 - line.long_burn, 0.0, 1.0);
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace lovage
