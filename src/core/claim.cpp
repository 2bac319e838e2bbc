#include "lovage/core/claim.h"

namespace lovage {

namespace {

claim_action retry_or_give_up(claim_progress& progress, claim_action next) {
    ++progress.store_errors;
    return progress.store_errors >= k_max_claim_store_errors ? claim_action::give_up : next;
}

} // namespace

bool may_create_claim(const claim_conditions& conditions, time_point now) {
    if (!conditions.restored_at || now - *conditions.restored_at >= k_claim_memory) {
        return true;
    }
    const bool is_author_lost =
        conditions.entry_failed_at && *conditions.entry_failed_at > *conditions.restored_at - k_claim_memory;
    return !is_author_lost && now - *conditions.restored_at >= k_claim_restore_time;
}

claim_action after_claim_create(claim_progress& progress, const result<void>& outcome) {
    progress.write_sent = true;
    if (outcome) {
        progress.bound = progress.wanted;
        return claim_action::dispatch;
    }
    if (outcome.error().kind == error_kind::revision_conflict) {
        return claim_action::read;
    }
    return retry_or_give_up(progress, claim_action::read);
}

claim_action after_claim_read(claim_progress& progress, const result<std::optional<claim_record>>& outcome) {
    if (!outcome) {
        return retry_or_give_up(progress, claim_action::read);
    }
    if (!outcome->has_value()) {
        return claim_action::create;
    }
    progress.bound = **outcome;
    return claim_action::dispatch;
}

} // namespace lovage
