#include "lovage/core/retry_budget.h"

#include <algorithm>

namespace lovage {

void record_request(retry_budget& budget) {
    budget.tokens = std::min(budget.max_tokens, budget.tokens + budget.ratio);
}

bool try_spend_retry(retry_budget& budget, time_point now) {
    if (budget.last_refill != time_point{} && now > budget.last_refill) {
        const double seconds = std::chrono::duration<double>(now - budget.last_refill).count();
        budget.tokens = std::min(budget.max_tokens, budget.tokens + seconds * budget.per_second);
    }
    budget.last_refill = std::max(budget.last_refill, now);
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace lovage
