#include "lovage/core/error_kind.h"

#include <array>

namespace lovage {

namespace {

// Columns: kind, class of the response, may state "not run", retryable, default Retry-After in ms.
constexpr std::array<error_answer, k_error_kind_count> k_error_table{{
    {error_kind::invalid_request, answer_class::bad_request, true, false, 0},
    {error_kind::request_too_large, answer_class::too_large, true, false, 0},
    {error_kind::unknown_service, answer_class::not_found, true, false, 0},
    {error_kind::unknown_organisation, answer_class::bad_request, true, false, 0},
    {error_kind::not_found, answer_class::not_found, false, false, 0},
    {error_kind::idempotency_conflict, answer_class::conflict, false, false, 0},
    {error_kind::overloaded, answer_class::too_many, true, true, 1'000},
    {error_kind::deadline_unreachable, answer_class::too_many, true, true, 2'000},
    {error_kind::deadline_exceeded, answer_class::timed_out, true, true, 1'000},
    {error_kind::no_target, answer_class::unavailable, true, true, 1'000},
    {error_kind::target_busy, answer_class::too_many, true, true, 500},
    {error_kind::target_failed, answer_class::failed, false, true, 500},
    {error_kind::version_gone, answer_class::gone, false, true, 500},
    {error_kind::outcome_unknown, answer_class::failed, false, false, 0},
    {error_kind::store_unavailable, answer_class::unavailable, true, true, 2'000},
    {error_kind::revision_conflict, answer_class::conflict, false, false, 0},
    {error_kind::not_ready, answer_class::unavailable, true, true, 1'000},
    {error_kind::leaving, answer_class::unavailable, true, true, 200},
    {error_kind::peer_unreachable, answer_class::unavailable, false, true, 500},
    {error_kind::protocol_error, answer_class::bad_request, false, false, 0},
    {error_kind::stale_fencing, answer_class::conflict, true, false, 0},
    {error_kind::invalid_settings, answer_class::bad_request, true, false, 0},
    {error_kind::invalid_configuration, answer_class::bad_request, true, false, 0},
    {error_kind::cancelled, answer_class::gone, false, true, 0},
    {error_kind::unauthenticated, answer_class::unauthenticated, true, false, 0},
    {error_kind::history_lost, answer_class::unavailable, false, true, 0},
    {error_kind::outcome_late, answer_class::timed_out_unknown, false, false, 0},
    {error_kind::internal, answer_class::failed, false, true, 1'000},
}};

constexpr bool is_in_enum_order() {
    for (std::size_t i = 0; i < k_error_table.size(); ++i) {
        if (static_cast<std::size_t>(k_error_table[i].kind) != i) {
            return false;
        }
    }
    return true;
}
static_assert(is_in_enum_order());

} // namespace

const error_answer& answer_for(error_kind kind) {
    return k_error_table.at(static_cast<std::size_t>(kind));
}

} // namespace lovage
