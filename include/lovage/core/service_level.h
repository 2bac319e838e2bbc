#pragma once

#include "lovage/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace lovage {

/// Outcome of one request with regard to the service-level objective.
struct request_outcome {
    std::string service;
    std::string organisation_class;
    std::string route;
    /// Whether the request was answered exactly once, completely and in time.
    bool honoured = false;
    bool resumed = false;
    std::uint64_t tokens = 0;
    /// Tokens that were generated for the request but not delivered.
    std::uint64_t extra_tokens = 0;
};

/// Counts of requests and of those that missed the objective, in a ring of time buckets of fixed length.
struct burn_series {
    static constexpr std::size_t k_buckets = 60;
    /// 60 buckets of one minute cover k_long_burn_window.
    static constexpr std::chrono::seconds k_bucket_length{60};

    struct bucket {
        /// Time since the clock's epoch in bucket lengths; -1 if the bucket is unused.
        std::int64_t bucket_index = -1;
        std::uint64_t total = 0;
        std::uint64_t missed = 0;
    };
    std::array<bucket, k_buckets> buckets{};
};

void add_to_series(burn_series& series, bool honoured, time_point now);

/// Counts of a time window.
struct burn_counts {
    std::uint64_t total = 0;
    std::uint64_t missed = 0;
};
/// Returns the counts over a window that ends at `now`; the window is rounded up to whole buckets.
burn_counts counts_over(const burn_series& series, std::chrono::seconds window, time_point now);

/// Returns the burn rate: the share of missed requests relative to the share that the objective allows. A
/// rate of 1 uses up the error budget exactly. Returns 0 if there are no requests.
double burn_rate(const burn_counts& counts, double objective);

/// Short and long window over which the burn report gives burn rates.
inline constexpr std::chrono::seconds k_short_burn_window{300};
inline constexpr std::chrono::seconds k_long_burn_window{3'600};

struct burn_key {
    std::string service;
    std::string organisation_class;
    std::string route;

    friend bool operator<(const burn_key& a, const burn_key& b) {
        return std::tie(a.service, a.organisation_class, a.route) <
               std::tie(b.service, b.organisation_class, b.route);
    }
};

/// Service-level statistics of an entry (front-end process). Their size depends on the number of services,
/// classes and routes, not of organisations.
struct service_level {
    std::map<burn_key, burn_series> series;
    std::uint64_t requests = 0;
    std::uint64_t honoured = 0;
    std::uint64_t resumed = 0;
    std::uint64_t tokens = 0;
    std::uint64_t extra_tokens = 0;
};

void record_request(service_level& level, const request_outcome& outcome, time_point now);

/// One line of the burn report.
struct burn_line {
    burn_key key;
    double objective = 0.0;
    burn_counts short_counts;
    burn_counts long_counts;
    double short_burn = 0.0;
    double long_burn = 0.0;
    /// Fraction of the long window's error budget that is left, between 0 and 1.
    double budget_left = 1.0;
};

/// Returns the burn report; `objectives` maps services to the share of requests that must be honoured.
std::vector<burn_line> burn_report(const service_level& level,
                                   const std::map<std::string, double>& objectives, time_point now);

} // namespace lovage
