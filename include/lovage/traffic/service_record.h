#pragma once

#include "lovage/control/fleet_view.h"
#include "lovage/core/decision_log.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/service_level.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovage {

/// Kinds of decisions about a request.
enum class session_event : std::uint8_t { routed, resumed, adopted, restarted, refused, finished, failed };
inline constexpr std::size_t k_session_event_count = 7;
inline constexpr enum_names<k_session_event_count> k_session_event_names{
    "routed", "resumed", "adopted", "restarted", "refused", "finished", "failed"};
static_assert(static_cast<std::size_t>(session_event::failed) + 1 == k_session_event_count);

/// A request that has ended.
struct ended_request {
    std::string service;
    std::string organisation;
    /// The answer was complete and met the service's latency objective.
    bool honoured = false;
    bool resumed = false;
    std::uint64_t tokens = 0;
    std::uint64_t extra_tokens = 0;
};

/// Record of the requests that ended on this entry as their home entry, and log of the decisions about them
/// and about moves (rollouts of model versions). Thread-safe.
class service_record {
public:
    /// Records a request under its service's name as route.
    void add_ended_request(const fleet_view& view, const ended_request& ending);
    void add_decision(const std::string& request, session_event event, std::string detail);
    /// Adds an entry to the decision log for each move that has changed since the last call.
    void record_moves(const fleet_view& view);

    std::vector<decision_entry> decisions(const std::string& subject) const;
    std::vector<burn_line> burn(const fleet_view& view) const;
    /// Counts since the start, without the time series.
    service_level totals() const;

private:
    mutable std::mutex m_mutex;
    service_level m_level;
    decision_log m_decisions;
    std::map<std::string, std::string> m_moves;
};

} // namespace lovage
