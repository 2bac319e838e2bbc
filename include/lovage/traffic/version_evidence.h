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

/// How fast the usual version of a service answers on one route, as running means.
struct usual_pace {
    double first_ms = 0.0;
    double gap_ms = 0.0;
    double whole_ms = 0.0;
    std::uint64_t answers = 0;
};

/// What this process observes of the versions of services that are moved, on the traffic thread.
struct version_observer {
    evidence_recorder evidence;
    /// By service and route.
    std::map<std::pair<std::string, std::string>, usual_pace> paces;
};

/// One answer of a target as far as it is known.
struct observed_answer {
    std::string service;
    std::string route;
    std::string version;
};

/// The split of a service; null if it is not moved.
const version_split* find_split(const gateway_traffic& traffic, const std::string& service);

/// Draws the side of a new request.
version_side draw_side(const gateway_traffic& traffic, const std::string& service,
                       const std::string& request_id);

/// The time after which an answer that has not begun counts as slow; nothing if it need not be watched.
std::optional<milliseconds> slow_limit(const gateway_traffic& traffic, const observed_answer& answer);

/// Counts the begin of an answer after `waited`, the time of a whole one, the mean gap of a stream that has
/// made some events, an answer that is overdue although its engine lives, and a failure of the target's own.
/// Slow means several times slower than the usual version on the same route.
void observe_first(gateway_traffic& traffic, const observed_answer& answer, time_point::duration waited);
void observe_overdue(gateway_traffic& traffic, const observed_answer& answer, bool has_begun);
void observe_gap(gateway_traffic& traffic, const observed_answer& answer, time_point::duration mean_gap);
void observe_whole(gateway_traffic& traffic, const observed_answer& answer, time_point::duration taken);
void observe_failure(gateway_traffic& traffic, const observed_answer& answer);

/// Whether a service is being judged, and what the processes that are heard have seen.
bool is_judging(const gateway_traffic& traffic);
move_evidence collect_evidence(const gateway_traffic& traffic);

} // namespace lovage
