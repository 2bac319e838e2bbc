#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/gossip_message.h"
#include "lovage/core/ids.h"
#include "lovage/core/store_request.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace lovage {

/// Store key that holds the leader's claim. The revision at which the store created the key is the term and
/// fencing token; it is unique and increases with every new leader.
inline constexpr std::string_view k_leader_key = "leader";

/// Timing of the leader lease.
struct leadership_options {
    /// Time to live of the leader's lease, and so the longest time for which a failed leader delays the next
    /// one.
    milliseconds lease_ttl{5'000};
    /// Three renewals fit into the time to live, so a lost renewal does not end the lease.
    milliseconds renew_interval{1'500};
    /// The leader steps down this much before its lease expires, to allow for clocks that run at different
    /// rates.
    milliseconds expiry_margin{500};
    /// Interval at which a follower reads the leader key.
    milliseconds check_interval{1'000};
    /// Delay before a failed store call is retried.
    milliseconds retry_interval{500};
};

enum class leadership_phase : std::uint8_t { follower, granting, claiming, reading_back, leading, releasing };
inline constexpr std::size_t k_leadership_phase_count = 6;
inline constexpr enum_names<k_leadership_phase_count> k_leadership_phase_names{
    "follower", "granting", "claiming", "reading_back", "leading", "releasing"};

/// State machine of leader election by a lease in the store.
struct leadership_state {
    leadership_options options;
    node_id self;
    lovage::incarnation incarnation = 0;
    leadership_phase phase = leadership_phase::follower;
    /// A store call of this state machine is in progress.
    bool has_pending_call = false;
    lease_id lease = 0;
    /// When the last call that may have granted or extended the lease was sent.
    time_point lease_call_sent_at{};
    /// Expiry of the lease on this process's clock, minus `expiry_margin`.
    time_point expires{};
    /// Earliest time of the next store call.
    time_point next_step{};
    fencing_number term = 0;
    /// The value of the leader key that this process wrote or tried to write.
    std::string claim;
    /// The store's era (core/store_revision.h) and when this process may claim in it. A restored store may
    /// have lost a leader's lease, so nobody claims before the leader has stepped down by its own clock.
    std::uint64_t era = 0;
    time_point claims_from{};
    /// The leader as last read from the store.
    leader_claim known_leader;
};

/// Returns whether this process holds the lease at `now` and may issue orders.
bool is_leading(const leadership_state& state, time_point now);

/// Changes the phase if necessary and returns the store call that is due, if any. Changes and returns nothing
/// while a call is pending. `may_lead` is false for processes that are not candidates or are shutting down.
std::optional<store_request> leadership_step(leadership_state& state, bool may_lead, time_point now,
                                             std::mt19937_64& random);

/// Processes the reply to the call that `leadership_step` returned most recently.
void leadership_reply(leadership_state& state, const store_reply& reply, time_point now);

/// Returns when `leadership_step` or a check of `is_leading` is due next.
time_point leadership_next(const leadership_state& state, time_point now);

} // namespace lovage
