#pragma once

#include "lovage/core/ejection.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/messages.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovage {

/// What an entry (front-end process) knows about a target and the agent in front of it.
struct target_state {
    /// Node id of the agent.
    node_id node;
    std::string zone;
    /// The agent's current incarnation; 0 while it is not connected.
    lovage::incarnation incarnation = 0;
    bool connected = false;
    /// The agent announced its shutdown, or the membership lists it as leaving.
    bool leaving = false;
    /// The incarnation that operators have drained, 0 for the one that connects next; empty if none was.
    std::optional<lovage::incarnation> drained;
    /// The last load report; default values before the first.
    load_report_message report;
    time_point reported_at{};
    /// Attempts of this entry in flight at the target.
    std::uint32_t in_flight = 0;
    /// The same when the last report arrived.
    std::uint32_t in_flight_at_report = 0;
    ejection_state ejection;
};

/// Requirements of an attempt for a target.
struct target_requirements {
    std::string model;
    std::string version;
    std::string adapter;
    /// Agents that are excluded because they just failed or refused.
    std::vector<node_id> excluded;
    /// The attempt resumes an answer. Resumes are served before new requests.
    bool is_resume = false;
    /// Hash of the prompt's prefix for prefix cache affinity; 0 for none.
    std::uint64_t prefix = 0;
};

/// How a target is chosen among the candidates. `two_choices` is the policy for production; the others are
/// baselines for comparison in load tests.
enum class routing_policy : std::uint8_t { two_choices, round_robin, least_reported };
inline constexpr std::size_t k_routing_policy_count = 3;
inline constexpr enum_names<k_routing_policy_count> k_routing_policy_names{"two_choices", "round_robin",
                                                                           "least_reported"};
static_assert(static_cast<std::size_t>(routing_policy::least_reported) + 1 == k_routing_policy_count);

/// The state of the choosing entry that a choice depends on.
struct routing_context {
    routing_policy policy = routing_policy::two_choices;
    /// The entry's availability zone; targets there are preferred while they are not much more loaded.
    std::string zone;
    time_point now{};
    /// Number of choices made so far; used by `round_robin`.
    std::uint64_t sequence = 0;
};

/// Length of the prompt prefix that determines which target is preferred for its prefix cache, in bytes.
inline constexpr std::size_t k_prefix_bytes = 256;

/// Returns the hash of the first `k_prefix_bytes` of a prompt.
std::uint64_t prefix_hash(const std::string& prompt);

/// Returns whether the target accepts new requests and has the model version and adapter loaded.
bool is_eligible(const target_state& target, const target_requirements& need);

/// Returns the load of a target relative to its slots: this entry's attempts in flight, which are known
/// exactly, plus the attempts of other entries in the last report, weighted less the older the report is. 1
/// means that all slots are busy.
double target_load(const target_state& target, time_point now);

/// Returns the index of the target for an attempt, or nothing if no eligible target is free. New requests go
/// only to targets with a free slot; a resume may exceed the slots, since agents queue it ahead of new
/// requests.
///
/// With `two_choices`, the less loaded of two random candidates is chosen, which prevents entries that see
/// the same outdated report from all choosing the same target. The target preferred for the prompt's prefix
/// is chosen instead while its load is near the mean.
std::optional<std::size_t> choose_target(const std::vector<target_state>& targets,
                                         const target_requirements& need, const routing_context& context,
                                         std::mt19937_64& random);

} // namespace lovage
