#pragma once

#include "lovage/control/fleet_view.h"
#include "lovage/core/retry_budget.h"
#include "lovage/ports/peer_port.h"
#include "lovage/traffic/call_waiters.h"
#include "lovage/traffic/plain_call.h"

#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace lovage {

/// A caller's call of a plain service.
struct service_call_request {
    /// Empty if the caller sent none; the call then gets a random id.
    std::string idempotency_key;
    /// `request` and `repeatable` are set by the service caller.
    call_message call;
    /// The path of the call, percent-decoded and without its query.
    std::string decoded_path;
};

struct service_caller_ports {
    std::function<fleet_view_ptr()> view;
    std::function<bool()> is_leaving;
    std::function<std::optional<call_target>(const std::string& service, const std::set<node_id>& excluded)>
        choose;
    std::function<bool(const node_id& agent, const call_message&)> send;
    /// Errors as in `plain_call_ports`. `is_fresh_id`: no earlier call can have the id.
    std::function<result<void>(const request_id&, const claim_record&, bool is_fresh_id)> create_claim;
    std::function<result<std::optional<claim_record>>(const request_id&)> read_claim;
    /// Called when an accepted call has ended. `honoured` is true if the service answered without a server
    /// error.
    std::function<void(const call_message&, bool honoured)> on_ended;
    /// Adds to a counter.
    std::function<void(const std::string& name, double by)> count;
};

struct service_call_result {
    request_id request;
    plain_call_outcome outcome;
};

/// Runs callers' calls to plain services on the entry that received them. Claims in the store ensure that a
/// non-idempotent call runs at most once, whichever entry a retry reaches. Thread-safe.
///
/// Metrics: service_calls_total, service_calls_claimed_total, service_call_retries_total,
/// service_calls_failed_total.
class service_caller {
public:
    explicit service_caller(service_caller_ports ports);

    /// Returns peer callbacks that handle call results and observe connections of agents, and forward
    /// everything but call results to `next`.
    peer_events wrap_peer_events(peer_events next);
    /// Blocks until the call has a result, at most until its deadline, which must be set.
    service_call_result run(service_call_request request);
    /// Ends the calls in progress, at the end of the process: non-idempotent ones with `outcome_unknown`, the
    /// others with `leaving`.
    void stop() { m_waiters.stop(); }

private:
    service_call_result run_checked(const call_message& call, bool is_fresh);
    std::uint64_t random();
    bool try_spend();

    const service_caller_ports m_ports;
    call_waiters m_waiters;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    retry_budget m_budget;
};

} // namespace lovage
