#include "lovage/control/home_change.h"
#include "lovage/control/home_entry.h"
#include "lovage/core/admission.h"
#include "lovage/core/not_run.h"
#include "lovage/core/spec_check.h"
#include "lovage/traffic/entry_service.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

constexpr int k_max_id_attempts = 64;

} // namespace

tl::expected<subscription, rejection> entry_service::generate(generation_request request) {
    const bool is_fresh = request.idempotency_key.empty();
    const auto view = m_views->current();
    const request_id id = is_fresh ? new_request_id(*view)
                                   : request_id::from_key(request.spec.organisation, request.idempotency_key);
    const auto reject = [&](const error& failure) {
        m_record->add_decision(id.to_string(), session_event::refused,
                               std::string(to_string(failure.kind)) + ": " + failure.detail);
        if (failure.kind == error_kind::overloaded) {
            m_record->add_ended_request(*view, {request.spec.service, request.spec.organisation});
        }
        return tl::unexpected<rejection>(rejection{failure, is_fresh || is_certainly_not_run(id)});
    };
    if (!view->config) {
        return reject({error_kind::not_ready, "this entry has no configuration yet", {}});
    }
    if (const auto checked = check_spec(*view->config, request.spec); !checked) {
        return reject(checked.error());
    }
    if (!m_table->find(id)) {
        if (m_leaving) {
            return reject({error_kind::leaving, "this entry is leaving", {}});
        }
        const auto admitted =
            admit({m_table->live(), m_options.max_live_answers}, request.spec, view->config->limits);
        if (!admitted) {
            return reject(admitted.error());
        }
    }
    const std::uint64_t digest = spec_digest(request.spec);
    const auto found = m_table->find_or_create(id, digest, [&] {
        return answer_session::create(m_context, {id, request.spec, digest, is_fresh});
    });
    if (!found) {
        return reject(found.error());
    }
    const answer_cursor cursor{request.held_answer, request.held_tokens, 0, request.streamed};
    subscription reader(found->session, cursor, request.spec.deadline);
    if (found->created) {
        const member_info* home = home_entry(*view, id, m_options.session.region);
        if (is_fresh || home == nullptr || home->node == m_options.session.self) {
            start(found->session, request.held_answer);
        } else {
            found->session->start_as_relay(request.held_answer);
        }
    }
    return reader;
}

subscription entry_service::follow(const request_id& request, answer_id held_answer, token_index held_tokens,
                                   bool streamed) {
    // Cannot fail: digest 0 matches any request and starts no answer.
    const auto found = m_table->find_or_create(request, 0, [&] {
        return answer_session::create(m_context, {request, {}, 0, false});
    });
    subscription reader(found->session, {held_answer, held_tokens, 0, streamed}, {});
    if (found->created) {
        const member_info* home = home_entry(*m_views->current(), request, m_options.session.region);
        if (home == nullptr || home->node == m_options.session.self) {
            start(found->session, held_answer);
        } else {
            found->session->start_as_relay(held_answer);
        }
    }
    return reader;
}

// Draws random ids until this entry is the home entry of one, so that agents and other entries find the
// answer here. With many entries the number of draws may be exhausted; this entry then acts as the home all
// the same.
request_id entry_service::new_request_id(const fleet_view& view) {
    request_id id;
    for (int i = 0; i < k_max_id_attempts; ++i) {
        {
            const std::lock_guard lock(m_mutex);
            id = {m_random(), m_random()};
        }
        const member_info* home = home_entry(view, id, m_options.session.region);
        if (home == nullptr || home->node == m_options.session.self) {
            break;
        }
    }
    return id;
}

bool entry_service::is_certainly_not_run(const request_id& request) const {
    const auto view = m_views->current();
    const auto& region = m_options.session.region;
    const member_info* home = home_entry(*view, request, region);
    not_run_conditions facts;
    facts.is_home = home != nullptr && home->node == m_options.session.self;
    facts.dispatched = m_table->find(request) != nullptr || m_table->was_dispatched(request);
    facts.home_changed_at = home_changed_at(*view, request, region);
    facts.entry_failed_at = std::max(entry_failed_at(*view), pauses().last_end);
    return is_not_run(facts, monotonic_now());
}

void entry_service::start(const std::shared_ptr<answer_session>& session, answer_id held_answer) {
    const time_point now = monotonic_now();
    const auto view = m_views->current();
    const auto& options = m_options.session;
    const process_pauses own_pauses = pauses();
    const member_info* former =
        former_home(*view, session->request(), options.region, options.self, own_pauses.last_end, now);
    // Connections that were closed during a pause are open again after a moment, and so are those of an entry
    // that has just joined.
    const bool may_connect = held_answer.value != 0 || is_reconnecting(own_pauses, now);
    if (!session->is_fresh() && former != nullptr && (may_connect || m_peers.is_connected(former->node))) {
        session->start_at_former_home(held_answer);
    } else {
        session->start_as_home(held_answer);
    }
}

adoption_prospects entry_service::prospects(const request_id& request) const {
    const auto view = m_views->current();
    const std::lock_guard lock(m_mutex);
    return {false,
            home_lost_at(*view, request, m_options.session.region, m_options.session.self, m_lost_entries),
            m_agent_joined_at};
}

} // namespace lovage
