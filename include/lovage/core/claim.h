#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/error_kind.h"
#include "lovage/core/ids.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lovage {

/// A record in the store that binds a non-idempotent request to the one agent incarnation that may run it.
struct claim_record {
    node_id agent;
    lovage::incarnation incarnation = 0;
    /// Random number of the writer; shows whose write took effect when the store's response was lost.
    std::uint64_t nonce = 0;

    friend bool operator==(const claim_record& a, const claim_record& b) {
        return a.agent == b.agent && a.incarnation == b.incarnation && a.nonce == b.nonce;
    }
};

/// The next step of claiming a request.
enum class claim_action : std::uint8_t {
    /// Create the claim in the store.
    create,
    /// Read the claim from the store.
    read,
    /// Send the request to the agent of `claim_progress::bound`.
    dispatch,
    /// Refuse the request, since the store does not respond.
    give_up
};
inline constexpr std::size_t k_claim_action_count = 4;
inline constexpr enum_names<k_claim_action_count> k_claim_action_names{"create", "read", "dispatch",
                                                                       "give_up"};

/// The state of one request's claim at its home entry, the front-end process that owns the request id.
struct claim_progress {
    /// The claim that this entry tries to create.
    claim_record wanted;
    /// The claim in effect; set together with the decision `dispatch`.
    std::optional<claim_record> bound;
    bool write_sent = false;
    std::uint32_t store_errors = 0;
};

/// Number of store errors for one claim after which the request is refused.
inline constexpr std::uint32_t k_max_claim_store_errors = 3;

/// How long processes that write claims remember them, to write them again if a restored store has lost them,
/// and how many. A copy of the store is seconds old.
inline constexpr milliseconds k_claim_memory{600'000};
inline constexpr std::size_t k_max_remembered_claims = 20'000;
/// Time after which the processes that live have seen the store's new era and written their claims again.
inline constexpr milliseconds k_claim_restore_time{15'000};

/// What decides whether a call that has no claim in the store may get one.
struct claim_conditions {
    /// When this process saw that the store was restored from a copy, which may lack claims.
    std::optional<time_point> restored_at;
    /// When an entry last failed without announcing a shutdown; nobody writes its claims again.
    std::optional<time_point> entry_failed_at;
};

/// Returns whether it is certain that no claim of an earlier call with the same id was lost. If not, the call
/// may have run.
bool may_create_claim(const claim_conditions& conditions, time_point now);

/// Returns the step after `create`. `revision_conflict` means that a claim exists. After any other error it
/// is unknown whether the write took effect, so the claim is read back.
claim_action after_claim_create(claim_progress& progress, const result<void>& outcome);

/// Returns the step after the claim was read. An absent claim is created again with the same nonce, so that
/// if an earlier write is only delayed, the second of the two to arrive at the store fails with a conflict.
claim_action after_claim_read(claim_progress& progress, const result<std::optional<claim_record>>& outcome);

} // namespace lovage
