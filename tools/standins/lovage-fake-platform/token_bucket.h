#pragma once

#include "lovage/core/time.h"

namespace lovage::fake_platform {

/// A rate limiter of `rate` calls per second. It allows bursts of a tenth of a second's calls, at least one.
struct token_bucket {
    double rate = 0;
    double tokens = 0;
    time_point refilled{};
};

/// Returns a full bucket.
token_bucket make_bucket(double rate, time_point now);

/// Takes one token; returns false, and takes none, if the bucket is empty.
bool try_take_token(token_bucket& bucket, time_point now);

} // namespace lovage::fake_platform
