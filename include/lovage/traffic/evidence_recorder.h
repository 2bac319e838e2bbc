#pragma once

#include "lovage/control/fleet_view.h"
#include "lovage/core/evidence.h"
#include "lovage/core/messages.h"

#include <map>
#include <mutex>

namespace lovage {

/// Observation of one attempt, as evidence for or against a model version.
enum class evidence_event_kind : std::uint8_t { first_token, slow_first_token, slow_gap, failure };
inline constexpr std::size_t k_evidence_event_kind_count = 4;
inline constexpr enum_names<k_evidence_event_kind_count> k_evidence_event_kind_names{
    "first_token", "slow_first_token", "slow_gap", "failure"};
static_assert(static_cast<std::size_t>(evidence_event_kind::failure) + 1 == k_evidence_event_kind_count);

/// Counts evidence per model version and route (the service's name) since the process started. Thread-safe.
///
/// A request is counted at its first token, so that fast and slow requests are reported equally early. A
/// defect that appears later counts as an additional request, because the evaluation accepts at most as many
/// defects as requests from a report.
class evidence_recorder {
public:
    void record(const evidence_key& key, evidence_event_kind kind);
    evidence_message report() const;

private:
    mutable std::mutex m_mutex;
    std::map<evidence_key, evidence_counts> m_counts;
};

/// Whether entries report evidence: true while any configured move (rollout of a model version) is neither
/// vetoed nor rolled back. A completed rollout is evaluated as long as it is configured.
bool is_evidence_wanted(const fleet_view& view);

} // namespace lovage
