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

/// Whether a request may be retried. A streaming request may be retried only if its route is resumable.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, streaming };
inline constexpr std::size_t k_request_kind_count = 3;
inline constexpr enum_names<k_request_kind_count> k_request_kind_names{"idempotent", "non_idempotent",
                                                                       "streaming"};
static_assert(static_cast<std::size_t>(request_kind::streaming) + 1 == k_request_kind_count);

/// A service that receives a part of a route's requests, in proportion to its weight.
struct service_share {
    std::string service;
    double weight = 1.0;
};

/// How requests for one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Timeout for the complete response.
    milliseconds timeout{0};
    /// Latency objective for the response, or for the first event of a stream.
    milliseconds objective{0};
    /// Objective for the longest gap between two events of a stream; 0 for none.
    milliseconds longest_gap{0};
    /// Priority of its requests; 0 is the most urgent.
    std::int64_t rank = 0;
    std::vector<service_share> services;
    /// Most targets that may run one request.
    std::uint32_t max_attempts = 1;
    /// Requests need no key.
    bool is_public = false;
    /// A stream can be resumed at another target after its last event.
    bool is_resumable = false;

    /// Returns whether a request of this route may run again at another target.
    bool is_repeatable() const {
        return kind == request_kind::idempotent || (kind == request_kind::streaming && is_resumable);
    }
};

/// Properties of the engines of a service.
struct engine_traits {
    /// Generations that one engine runs at the same time.
    std::uint32_t slots = 0;
    /// Capacity of an engine's KV memory in tokens.
    std::uint64_t memory_tokens = 0;
    /// Whether an engine replicates the KV memory of a running generation to another engine as a standby
    /// copy.
    bool sends_copies = false;
};

struct service_definition {
    std::string name;
    std::uint32_t max_connections = 0;
    /// Set if the targets of the service are engines.
    std::optional<engine_traits> engine;
    /// Whether the routes of its streams have more than one rank; set by `index_routes`.
    bool has_streams_of_several_ranks = false;
    /// The most urgent rank of its streams; set by `index_routes`.
    std::int64_t most_urgent_rank = 0;
};

/// Size limits and timeouts for reading a caller's request.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One version of the routes, services and API keys that the operators configured.
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, service_definition> services;
    /// Whether requests to routes that are not public need a key.
    bool has_organisations = false;
    std::unordered_map<std::string, std::string> organisation_by_key;
    /// Ranks of the organisations that have one of their own, which overrides the route's.
    std::unordered_map<std::string, std::int64_t> rank_by_organisation;
    caller_limits limits;
    /// Index of the route by host and prefix; built by `index_routes`.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
};
using route_table_ptr = std::shared_ptr<const route_table>;

/// Rebuilds what `table` derives from `table.routes`: `by_host`, and properties of the services.
void index_routes(route_table& table);

/// Returns the route on `host` with the longest prefix that matches the path of `target`, the request target
/// of HTTP; null if none matches. Hosts are compared without case and port. The pointer refers into `table`.
const route* find_route(const route_table& table, std::string_view host, std::string_view target);

/// Whether a request may use its route.
enum class access : std::uint8_t { allowed, unknown_route, unknown_key };
inline constexpr std::size_t k_access_count = 3;
inline constexpr enum_names<k_access_count> k_access_names{"allowed", "unknown_route", "unknown_key"};

/// The result of `decide_access`.
struct access_decision {
    access verdict = access::unknown_route;
    /// The matching route, also if access is denied; null if none matches. Owned by the route table.
    const lovage::route* route = nullptr;
    /// The organisation that owns the key; empty if none does.
    std::string organisation;
    /// Rank of the request: the organisation's if it has one, else the route's.
    std::int64_t rank = 0;
};

/// Finds the route of a request and checks its API key. `target` is the request target of HTTP.
access_decision decide_access(const route_table& table, std::string_view host, std::string_view target,
                              std::string_view key);

/// Chooses a service of the route by weight; `random_fraction` is a random number, uniform in [0, 1).
const std::string& choose_service(const route& route, double random_fraction);

} // namespace lovage
