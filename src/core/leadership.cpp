#include "lovage/core/leadership.h"

#include <algorithm>
#include <array>

namespace lovage {

namespace {

// Format: "<nonce> <incarnation> <node>". The nonce distinguishes two claims of the same process.
std::string make_claim(const leadership_state& state, std::mt19937_64& random) {
    return std::to_string(random()) + " " + std::to_string(state.incarnation) + " " + state.self;
}

node_id node_of_claim(const std::string& claim) {
    const auto first = claim.find(' ');
    const auto second = first == std::string::npos ? first : claim.find(' ', first + 1);
    return second == std::string::npos ? node_id() : claim.substr(second + 1);
}

void become_follower(leadership_state& state, time_point now) {
    state.phase = state.lease != 0 ? leadership_phase::releasing : leadership_phase::follower;
    state.next_step = now + state.options.retry_interval;
}

void become_leader(leadership_state& state, fencing_number term, time_point now) {
    state.phase = leadership_phase::leading;
    state.term = term;
    state.known_leader = {term, state.self};
    state.expires = state.lease_call_sent_at + state.options.lease_ttl - state.options.expiry_margin;
    state.next_step = now + state.options.renew_interval;
}

bool is_unavailable(const store_reply& reply) {
    return reply.failure && reply.failure->kind != error_kind::revision_conflict &&
           reply.failure->kind != error_kind::not_found;
}

void reply_as_follower(leadership_state& state, const store_reply& reply, time_point now) {
    state.next_step = now + state.options.check_interval;
    if (reply.failure) {
        return;
    }
    if (reply.value) {
        state.known_leader = {reply.value->revision, node_of_claim(reply.value->value)};
        return;
    }
    if (now < state.claims_from) {
        return;
    }
    state.phase = leadership_phase::granting;
    state.next_step = now;
}

void observe_era(leadership_state& state, std::uint64_t era, time_point now) {
    if (era > state.era) {
        state.era = era;
        state.claims_from = now + state.options.lease_ttl;
    }
}

void reply_to_grant(leadership_state& state, const store_reply& reply, time_point now) {
    if (reply.failure) {
        state.phase = leadership_phase::follower;
        state.next_step = now + state.options.check_interval;
        return;
    }
    state.lease = reply.number;
    state.phase = leadership_phase::claiming;
    state.next_step = now;
}

void reply_to_claim(leadership_state& state, const store_reply& reply, time_point now) {
    if (!reply.failure) {
        become_leader(state, reply.number, now);
    } else if (is_unavailable(reply)) {
        // The write may have taken effect although its reply was lost.
        state.phase = leadership_phase::reading_back;
        state.next_step = now + state.options.retry_interval;
    } else {
        become_follower(state, now);
    }
}

void reply_to_read_back(leadership_state& state, const store_reply& reply, time_point now) {
    if (!reply.failure && reply.value && reply.value->value == state.claim) {
        become_leader(state, reply.value->revision, now);
    } else if (!reply.failure || now >= state.lease_call_sent_at + state.options.lease_ttl) {
        become_follower(state, now);
    } else {
        state.next_step = now + state.options.retry_interval;
    }
}

void reply_to_renewal(leadership_state& state, const store_reply& reply, time_point now) {
    if (!reply.failure) {
        state.expires = state.lease_call_sent_at + state.options.lease_ttl - state.options.expiry_margin;
        state.next_step = now + state.options.renew_interval;
    } else if (is_unavailable(reply)) {
        state.next_step = now + state.options.retry_interval;
    } else {
        state.lease = 0;
        become_follower(state, now);
    }
}

void reply_to_release(leadership_state& state, const store_reply& /*reply*/, time_point now) {
    // A lease that could not be revoked expires on its own.
    state.lease = 0;
    state.phase = leadership_phase::follower;
    state.next_step = now + state.options.check_interval;
}

using reply_function = void (*)(leadership_state&, const store_reply&, time_point);
constexpr std::array<reply_function, k_leadership_phase_count> k_reply_functions{
    reply_as_follower,  reply_to_grant,   reply_to_claim,
    reply_to_read_back, reply_to_renewal, reply_to_release};

store_request read_leader() {
    store_request request;
    request.operation = store_operation::get;
    request.key = std::string(k_leader_key);
    return request;
}

store_request lease_request(store_operation operation, const leadership_state& state) {
    store_request request;
    request.operation = operation;
    request.lease = state.lease;
    request.duration = state.options.lease_ttl;
    return request;
}

std::optional<store_request> request_for_phase(leadership_state& state, bool may_lead, time_point now,
                                               std::mt19937_64& random) {
    switch (state.phase) {
    case leadership_phase::follower:
        return may_lead ? std::optional<store_request>(read_leader()) : std::nullopt;
    case leadership_phase::granting:
        state.lease_call_sent_at = now;
        return lease_request(store_operation::grant_lease, state);
    case leadership_phase::claiming: {
        state.claim = make_claim(state, random);
        store_request request;
        request.operation = store_operation::compare_and_swap;
        request.key = std::string(k_leader_key);
        request.value = state.claim;
        request.lease = state.lease;
        return request;
    }
    case leadership_phase::reading_back:
        return read_leader();
    case leadership_phase::leading:
        state.lease_call_sent_at = now;
        return lease_request(store_operation::renew_lease, state);
    case leadership_phase::releasing:
        return lease_request(store_operation::revoke_lease, state);
    }
    return std::nullopt;
}

} // namespace

bool is_leading(const leadership_state& state, time_point now) {
    return state.phase == leadership_phase::leading && now < state.expires;
}

std::optional<store_request> leadership_step(leadership_state& state, bool may_lead, time_point now,
                                             std::mt19937_64& random) {
    if (state.has_pending_call) {
        return std::nullopt;
    }
    const bool must_stop = state.phase == leadership_phase::leading && (!may_lead || now >= state.expires);
    if (must_stop) {
        // A term is never resumed once its lease may have expired, even if a late renewal succeeds.
        become_follower(state, now);
        state.next_step = now;
    }
    if (now < state.next_step) {
        return std::nullopt;
    }
    auto request = request_for_phase(state, may_lead, now, random);
    state.has_pending_call = request.has_value();
    if (!request) {
        state.next_step = now + state.options.check_interval;
    }
    return request;
}

void leadership_reply(leadership_state& state, const store_reply& reply, time_point now) {
    if (!state.has_pending_call) {
        return;
    }
    state.has_pending_call = false;
    observe_era(state, reply.era, now);
    if (state.phase == leadership_phase::leading && now >= state.expires) {
        become_follower(state, now);
        state.next_step = now;
        return;
    }
    k_reply_functions.at(static_cast<std::size_t>(state.phase))(state, reply, now);
}

time_point leadership_next(const leadership_state& state, time_point now) {
    const bool has_term = is_leading(state, now);
    if (state.has_pending_call) {
        return has_term ? state.expires : time_point::max();
    }
    return has_term ? std::min(state.next_step, state.expires) : state.next_step;
}

} // namespace lovage
