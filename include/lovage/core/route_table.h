#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovage {

/// What may be repeated. A streaming request may be repeated only if its route is resumable.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, streaming };
inline constexpr std::size_t k_request_kind_count = 3;
inline constexpr enum_names<k_request_kind_count> k_request_kind_names{"idempotent", "non_idempotent",
                                                                       "streaming"};
static_assert(static_cast<std::size_t>(request_kind::streaming) + 1 == k_request_kind_count);

/// A service that serves part of a route's requests, in proportion to its weight.
struct service_share {
    std::string service;
    double weight = 1.0;
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Longest time until the final answer.
    milliseconds timeout{0};
    /// Time to the answer, or to the first event of a stream, for full credit.
    milliseconds objective{0};
    /// Longest pause between events for which a stream is on time; 0 for none.
    milliseconds longest_gap{0};
    /// Rank of its requests; 0 is the most urgent.
    std::int64_t rank = 0;
    std::vector<service_share> services;
    /// Most targets that may run one request.
    std::uint32_t max_attempts = 1;
    bool is_public = false;
    bool is_resumable = false;

    /// Whether another target may run a request of this route again.
    bool is_repeatable() const {
        return kind == request_kind::idempotent || (kind == request_kind::streaming && is_resumable);
    }
};

/// Properties of the engines of a service.
struct engine_traits {
    std::uint32_t slots = 0;
    std::uint64_t memory_tokens = 0;
    /// Whether an engine sends copies of a generation's memory to another engine while it runs.
    bool sends_copies = false;
};

struct service_definition {
    std::string name;
    std::uint32_t max_connections = 0;
    std::optional<engine_traits> engine;
};

/// What a caller may send and how long it may take.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// The operators' routes, services and keys in one version.
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, service_definition> services;
    /// Whether requests need a key.
    bool has_organisations = false;
    std::unordered_map<std::string, std::string> organisation_by_key;
    /// Ranks of the organisations that have one; it goes before the route's.
    std::unordered_map<std::string, std::int64_t> rank_by_organisation;
    caller_limits limits;
    /// Index of the route by host and prefix; built by `index_routes`.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
};
using route_table_ptr = std::shared_ptr<const route_table>;

void index_routes(route_table& table);

/// The route with the longest prefix of `target`'s path on `host` (compared without case and port); null if
/// none fits.
const route* find_route(const route_table& table, std::string_view host, std::string_view target);

enum class access : std::uint8_t { allowed, unknown_route, unknown_key };
inline constexpr std::size_t k_access_count = 3;
inline constexpr enum_names<k_access_count> k_access_names{"allowed", "unknown_route", "unknown_key"};

/// Whether a request is allowed, its route, and the organisation that holds its key.
struct access_decision {
    access verdict = access::unknown_route;
    const lovage::route* route = nullptr;
    std::string organisation;
    /// Rank of the request, of the organisation if it has one, else of the route.
    std::int64_t rank = 0;
};
access_decision decide_access(const route_table& table, std::string_view host, std::string_view target,
                              std::string_view key);

/// The service for a request; `draw` is uniform in [0, 1).
const std::string& choose_service(const route& route, double draw);

} // namespace lovage
