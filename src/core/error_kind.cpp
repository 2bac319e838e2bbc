#include "lovage/core/error_kind.h"

#include <array>

namespace lovage {

namespace {

// Columns: kind, class of the response, may state "not run", retryable, default Retry-After in ms.
constexpr std::array<error_properties, k_error_kind_count> k_error_table{{
    {error_kind::invalid_request, response_class::bad_request, true, false, 0},
    {error_kind::request_too_large, response_class::too_large, true, false, 0},
    {error_kind::unknown_service, response_class::not_found, true, false, 0},
    {error_kind::unknown_organisation, response_class::bad_request, true, false, 0},
    {error_kind::not_found, response_class::not_found, false, false, 0},
    {error_kind::idempotency_conflict, response_class::conflict, false, false, 0},
    {error_kind::overloaded, response_class::too_many, true, true, 1'000},
    {error_kind::deadline_unreachable, response_class::too_many, true, true, 2'000},
    {error_kind::deadline_exceeded, response_class::timed_out, true, true, 1'000},
    {error_kind::no_target, response_class::unavailable, true, true, 1'000},
    {error_kind::target_busy, response_class::too_many, true, true, 500},
    {error_kind::target_failed, response_class::failed, false, true, 500},
    {error_kind::target_silent, response_class::failed, false, true, 500},
    {error_kind::version_gone, response_class::gone, false, true, 500},
    {error_kind::outcome_unknown, response_class::failed, false, false, 0},
    {error_kind::store_unavailable, response_class::unavailable, true, true, 2'000},
    {error_kind::revision_conflict, response_class::conflict, false, false, 0},
    {error_kind::not_ready, response_class::unavailable, true, true, 1'000},
    {error_kind::leaving, response_class::unavailable, true, true, 200},
    {error_kind::peer_unreachable, response_class::unavailable, false, true, 500},
    {error_kind::protocol_error, response_class::bad_request, false, false, 0},
    {error_kind::stale_fencing, response_class::conflict, true, false, 0},
    {error_kind::invalid_settings, response_class::bad_request, true, false, 0},
    {error_kind::invalid_configuration, response_class::bad_request, true, false, 0},
    {error_kind::cancelled, response_class::gone, false, true, 0},
    {error_kind::unauthenticated, response_class::unauthenticated, true, false, 0},
    {error_kind::history_lost, response_class::unavailable, false, true, 0},
    {error_kind::outcome_late, response_class::timed_out_unknown, false, false, 0},
    {error_kind::prompt_quarantined, response_class::unavailable, true, false, 0},
    {error_kind::request_suspected, response_class::unavailable, true, true, 5'000},
    {error_kind::request_quarantined, response_class::unavailable, true, false, 0},
    {error_kind::internal, response_class::failed, false, true, 1'000},
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

const error_properties& error_properties_of(error_kind kind) {
    return k_error_table.at(static_cast<std::size_t>(kind));
}

} // namespace lovage
