#include "lovage/core/attempt_guard.h"

#include <algorithm>

namespace lovage {

namespace {

attempt_number& highest_of(attempt_guard& guard, const attempt_ref& ref) {
    const attempt_guard::key key{ref.request, ref.answer.value};
    const auto [found, is_new] = guard.highest.try_emplace(key, 0);
    if (is_new) {
        guard.order.push_back(key);
        if (guard.order.size() > guard.capacity) {
            guard.highest.erase(guard.order.front());
            guard.order.pop_front();
        }
    }
    return found->second;
}

} // namespace

bool admit_attempt(attempt_guard& guard, const attempt_ref& ref) {
    attempt_number& highest = highest_of(guard, ref);
    if (ref.attempt <= highest) {
        return false;
    }
    highest = ref.attempt;
    return true;
}

void close_attempt(attempt_guard& guard, const attempt_ref& ref) {
    attempt_number& highest = highest_of(guard, ref);
    highest = std::max(highest, ref.attempt);
}

} // namespace lovage
