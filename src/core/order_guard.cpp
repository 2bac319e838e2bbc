#include "lovage/core/order_guard.h"

#include <algorithm>
#include <string>

namespace lovage {

void record_term(order_guard& guard, fencing_number term) {
    guard.highest = std::max(guard.highest.value_or(0), term);
}

result<void> admit_order(order_guard& guard, const order_message& order) {
    if (!guard.highest) {
        return fail(error_kind::not_ready, "the current leader term has not been learned since the restart");
    }
    if (order.fencing < *guard.highest) {
        return fail(error_kind::stale_fencing, "fencing number " + std::to_string(order.fencing) +
                                                   " is below " + std::to_string(*guard.highest));
    }
    guard.highest = order.fencing;
    return {};
}

} // namespace lovage
