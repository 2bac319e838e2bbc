#pragma once

#include "lovage/core/claim.h"
#include "lovage/core/messages.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/service_port.h"
#include "lovage/traffic/call_waiters.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace lovage {

/// An agent in front of a plain service (one that runs single calls, not generations).
struct call_target {
    node_id agent;
    lovage::incarnation incarnation = 0;
};

/// Interfaces of the entry that a plain call uses.
struct plain_call_ports {
    /// Returns a connected target of the service that is not in `excluded`.
    std::function<std::optional<call_target>(const std::string& service, const std::set<node_id>& excluded)>
        choose;
    std::function<bool(const node_id& agent, const call_message&)> send;
    /// Errors as in `after_claim_create` and `after_claim_read`.
    std::function<result<void>(const request_id&, const claim_record&)> create_claim;
    std::function<result<std::optional<claim_record>>(const request_id&)> read_claim;
    /// Takes one retry from the entry's retry budget; false if it is spent.
    std::function<bool()> try_spend_retry;
    std::function<std::uint64_t()> random;
    std::function<time_point()> now;
};

/// Result for the caller.
struct plain_call_outcome {
    result<service_reply> reply;
    /// Whether the call certainly was not run and never will be under its idempotency key.
    bool not_run = false;
};

/// Runs an idempotent call: fails over to other targets within the retry budget until `deadline`. Blocks.
plain_call_outcome run_repeatable_call(const call_message& call, const plain_call_ports& ports,
                                       call_waiters& waiters, time_point deadline);

/// Runs a non-idempotent call: writes a claim that binds it to one agent incarnation, then sends it only
/// there. Fails with `outcome_unknown` if that incarnation is gone or does not answer in time. Blocks.
plain_call_outcome run_claimed_call(const call_message& call, const plain_call_ports& ports,
                                    call_waiters& waiters, time_point deadline);

} // namespace lovage
