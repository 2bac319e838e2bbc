#pragma once

#include "lovage/control/gateway_moves.h"
#include "lovage/core/time.h"
#include "lovage/core/version_split.h"
#include "lovage/traffic/evidence_recorder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lovage {

struct gateway_traffic;

/// Baseline latencies of a service's usual version on one route, as running means.
struct baseline_latency {
    double first_ms = 0.0;
    double gap_ms = 0.0;
    double whole_ms = 0.0;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
};

/// Observations of this process: the evidence about services whose version is being rolled out (a move), and
/// baselines of all services. Accessed only by the traffic thread.
struct version_observer {
    evidence_recorder evidence;
    /// By service and route.
    std::map<std::pair<std::string, std::string>, baseline_latency> baselines;
};

/// Identifies the service, route and version of an answer that is observed.
struct observed_answer {
    std::string service;
    std::string route;
    std::string version;
    /// Whether the answer is a stream of events.
    bool is_stream = true;
};

/// Returns the traffic split of a service; null if no move is in progress.
const version_split* find_split(const gateway_traffic& traffic, const std::string& service);

/// Chooses the side of a new request (usual or moved version) by a hash of its id, in proportion to the
/// split. While this process has too few answers of the usual version on the route to compare with, all
/// requests go to the usual side unless the version gets everything.
version_side choose_version_side(const gateway_traffic& traffic, const std::string& service,
                                 const std::string& route, const std::string& request_id);

/// Returns the time after which an answer without a first event counts as slow, or `nullopt` if the service
/// is not being evaluated or has no baseline yet.
std::optional<milliseconds> slow_threshold(const gateway_traffic& traffic, const observed_answer& answer);

/// Record the latency of the first event, an answer that is overdue although its engine is alive, the mean
/// gap of a stream after several events, the duration of a complete answer, and a failure of the target
/// itself. Slow means several times slower than the baseline on the same route.
void observe_first_event(gateway_traffic& traffic, const observed_answer& answer,
                         time_point::duration waited);
void observe_overdue(gateway_traffic& traffic, const observed_answer& answer, bool has_begun);
void observe_gap(gateway_traffic& traffic, const observed_answer& answer, time_point::duration mean_gap);
void observe_completion(gateway_traffic& traffic, const observed_answer& answer, time_point::duration taken);
void observe_failure(gateway_traffic& traffic, const observed_answer& answer);

/// Whether any service is being evaluated, and the evidence of this process and of all live peers.
bool is_evaluating_version(const gateway_traffic& traffic);
move_evidence collect_evidence(const gateway_traffic& traffic);

} // namespace lovage
