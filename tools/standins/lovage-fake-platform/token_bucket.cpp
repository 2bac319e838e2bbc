#include "token_bucket.h"

#include <algorithm>

namespace lovage::fake_platform {

namespace {

double burst_size(double rate) {
    return std::max(1.0, rate / 10.0);
}

} // namespace

token_bucket make_bucket(double rate, time_point now) {
    return {rate, burst_size(rate), now};
}

bool try_take_token(token_bucket& bucket, time_point now) {
    const std::chrono::duration<double> elapsed = now - bucket.refilled;
    bucket.tokens = std::min(burst_size(bucket.rate), bucket.tokens + bucket.rate * elapsed.count());
    bucket.refilled = now;
    if (bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

} // namespace lovage::fake_platform
