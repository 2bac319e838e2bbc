#include "lovage/traffic/plain_call.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

constexpr milliseconds k_resend_interval{50};

plain_call_outcome failed_with(error_kind kind, std::string detail, bool not_run = false) {
    return {fail(kind, std::move(detail)), not_run};
}

plain_call_outcome to_outcome(const call_result_message& message, bool may_have_run = false) {
    if (message.ok) {
        return {service_reply{message.status, message.content_type, message.body}, false};
    }
    return failed_with(message.kind, message.detail, message.not_run && !may_have_run);
}

result<call_result_message> call_agent(const node_id& agent, const call_message& call,
                                       const plain_call_ports& ports, call_waiters& waiters,
                                       time_point deadline) {
    call_waiters::ticket ticket(waiters, call.request, agent);
    if (!ports.send(agent, call)) {
        return fail(error_kind::peer_unreachable, "no connection to " + agent);
    }
    return ticket.wait_until(deadline);
}

bool is_retryable_elsewhere(error_kind kind) {
    return kind == error_kind::peer_unreachable || kind == error_kind::target_busy ||
           kind == error_kind::target_failed || kind == error_kind::leaving ||
           kind == error_kind::outcome_unknown;
}

// Creates the claim of the call, or reads the existing one. Returns `nullopt` if the store gave no definite
// answer before `deadline` or the end of the process.
std::optional<claim_record> bind_claim(const call_message& call, const call_target& target,
                                       const plain_call_ports& ports, const call_waiters& waiters,
                                       time_point deadline) {
    claim_progress progress;
    progress.wanted = {target.agent, target.incarnation, ports.random()};
    claim_action action = claim_action::create;
    while (action != claim_action::dispatch && action != claim_action::give_up && ports.now() < deadline &&
           !waiters.is_stopped()) {
        action = action == claim_action::create
                     ? after_claim_create(progress, ports.create_claim(call.request, progress.wanted))
                     : after_claim_read(progress, ports.read_claim(call.request));
    }
    return progress.bound;
}

} // namespace

plain_call_outcome run_repeatable_call(const call_message& call, const plain_call_ports& ports,
                                       call_waiters& waiters, time_point deadline) {
    std::set<node_id> excluded;
    // Set if any target may have run the call, even if a later one refused it as not run.
    bool may_have_run = false;
    while (true) {
        const auto target = ports.choose(call.service, excluded);
        if (!target) {
            return failed_with(error_kind::no_target, "no live target serves " + call.service);
        }
        const auto answer = call_agent(target->agent, call, ports, waiters, deadline);
        may_have_run = may_have_run || !answer || !answer->not_run;
        if (answer && (answer->ok || !is_retryable_elsewhere(answer->kind))) {
            return to_outcome(*answer, may_have_run);
        }
        if (!answer && (answer.error().kind == error_kind::deadline_exceeded ||
                        answer.error().kind == error_kind::leaving)) {
            return failed_with(answer.error().kind, answer.error().detail);
        }
        excluded.insert(target->agent);
        if (!ports.try_spend_retry()) {
            return answer ? to_outcome(*answer, may_have_run)
                          : failed_with(error_kind::target_failed, answer.error().detail);
        }
    }
}

plain_call_outcome run_claimed_call(const call_message& call, const plain_call_ports& ports,
                                    call_waiters& waiters, time_point deadline) {
    const auto target = ports.choose(call.service, {});
    if (!target) {
        return failed_with(error_kind::no_target, "no live target serves " + call.service);
    }
    const auto claim = bind_claim(call, *target, ports, waiters, deadline);
    if (!claim) {
        return failed_with(error_kind::store_unavailable, "the claim of the call could not be written");
    }
    call_message bound = call;
    bound.bound_incarnation = claim->incarnation;
    while (ports.now() < deadline) {
        const auto connected = waiters.wait_connected(claim->agent, deadline);
        if (!connected || *connected != claim->incarnation) {
            break;
        }
        // The agent deduplicates by request id, so sending the call again after a lost connection does not
        // run it twice.
        const auto answer = call_agent(claim->agent, bound, ports, waiters, deadline);
        if (answer) {
            return to_outcome(*answer);
        }
        if (answer.error().kind == error_kind::deadline_exceeded || waiters.is_stopped()) {
            break;
        }
        // The connection may be up with a full send buffer, so a retry also happens without a change.
        waiters.wait_change(std::min(deadline, ports.now() + k_resend_interval));
    }
    return failed_with(error_kind::outcome_unknown, "no result from the target that the call is bound to");
}

} // namespace lovage
