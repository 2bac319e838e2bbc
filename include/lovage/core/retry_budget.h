#pragma once

#include "lovage/core/time.h"

namespace lovage {

/// A token bucket that limits retries to a fraction of the requests, so that retries cannot multiply the load
/// during an outage. One token allows one retry.
struct retry_budget {
    /// Tokens added per request.
    double ratio = 0.1;
    /// Tokens added per second regardless of requests, so that an entry with little traffic can retry at all.
    double per_second = 1.0;
    double max_tokens = 100.0;
    double tokens = 10.0;
    time_point last_refill{};
};

/// Adds the tokens of one request.
void record_request(retry_budget& budget);

/// Takes the token of one retry; returns false if the budget is exhausted.
bool try_spend_retry(retry_budget& budget, time_point now);

} // namespace lovage
