#include "entry_helpers.h"
#include "overloaded.h"

#include "lovage/control/home_entry.h"
#include "lovage/core/admission.h"
#include "lovage/core/spec_check.h"
#include "lovage/traffic/entry_service.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lovage {

peer_events entry_service::events() {
    peer_events events;
    events.on_connected = [this](const hello_message& hello) { on_connected(hello); };
    events.on_disconnected = [this](const node_id& node) { on_disconnected(node); };
    events.on_message = [this](const node_id& from, peer_message message) {
        on_message(from, std::move(message));
    };
    return events;
}

void entry_service::on_connected(const hello_message& hello) {
    {
        const std::lock_guard lock(m_mutex);
        m_roles[hello.node] = hello.role;
        m_lost_entries.erase(hello.node);
        if (hello.role == node_role::agent && m_known_agents.insert(hello.node).second) {
            m_agent_joined_at = monotonic_now();
        }
    }
    if (hello.role == node_role::agent) {
        m_targets->set_connected(hello.node, hello.incarnation);
        return;
    }
    // The entry may have been restarted or cut off when operators drained a target.
    for (const auto& target : m_targets->snapshot()) {
        if (target.drained) {
            m_peers.send(hello.node, goodbye_message{target.node});
        }
    }
}

void entry_service::on_disconnected(const node_id& node) {
    const bool was_agent = is_agent(node);
    // Agents have lost a member that is gone long before this entry closes its connection.
    const auto view = m_views->current();
    const bool was_gone =
        std::any_of(view->members.begin(), view->members.end(),
                    [&node](const member_info& member) { return member.node == node && is_gone(member); });
    {
        const std::lock_guard lock(m_mutex);
        m_roles.erase(node);
        if (!was_agent && !was_gone) {
            m_lost_entries[node] = monotonic_now();
        }
    }
    if (was_agent) {
        m_targets->set_connected(node, 0);
    }
    for (const auto& session : m_table->all()) {
        session->on_disconnected(node);
    }
}

bool entry_service::is_agent(const node_id& node) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_roles.find(node);
    return found != m_roles.end() && found->second == node_role::agent;
}

template <class Message>
void entry_service::forward_to_session(const node_id& from, const Message& message,
                                       void (answer_session::*handler)(const node_id&, const Message&)) {
    if (const auto session = m_table->find(message.ref.request)) {
        ((*session).*handler)(from, message);
    } else {
        reject_unknown_request(from, message.ref);
    }
}

// Tells a peer to stop working on a request that is unknown here.
void entry_service::reject_unknown_request(const node_id& from, const attempt_ref& ref) {
    m_context->count("dropped_messages_total", 1.0);
    if (is_agent(from)) {
        m_peers.send(from, cancel_message{ref});
    } else {
        m_peers.send(from, detach_message{ref.request});
    }
}

void entry_service::on_message(const node_id& from, peer_message message) {
    std::visit(
        overloaded{
            [&](const tokens_message& m) { forward_to_session(from, m, &answer_session::on_tokens); },
            [&](const finished_message& m) { forward_to_session(from, m, &answer_session::on_finished); },
            [&](const attach_reply_message& m) {
                forward_to_session(from, m, &answer_session::on_attach_reply);
            },
            [&](const failed_message& m) {
                if (const auto session = m_table->find(m.ref.request)) {
                    session->on_failed(from, m);
                }
            },
            [&](const progress_message& m) { handle(from, m); },
            [&](const adopt_message& m) { handle(from, m); },
            [&](const attach_message& m) { handle(from, m); },
            [&](const detach_message& m) { handle(from, m); },
            [&](const load_report_message& m) { handle(from, m); },
            [&](const goodbye_message& m) { handle(from, m); },
            [&](const auto&) { m_context->count("unexpected_messages_total", 1.0); },
        },
        message);
}

void entry_service::handle(const node_id& from, const progress_message& message) {
    for (const auto& item : message.items) {
        if (const auto session = m_table->find(item.ref.request)) {
            session->on_progress(from, item.ref);
        } else {
            reject_unknown_request(from, item.ref);
        }
    }
}

void entry_service::handle(const node_id& from, const load_report_message& message) {
    if (is_agent(from)) {
        m_targets->set_report(from, message, monotonic_now());
        m_scheduler->on_capacity(monotonic_now());
    }
}

// An agent announces its own drain; an entry forwards an operator's drain of a target.
void entry_service::handle(const node_id& from, const goodbye_message& message) {
    if (is_agent(from)) {
        m_targets->set_leaving(from);
    } else if (message.node != from) {
        m_targets->set_drained(message.node);
    }
}

std::optional<node_id> entry_service::drain(const std::string& target) {
    std::optional<node_id> agent;
    for (const auto& state : m_targets->snapshot()) {
        if (state.node == target || state.report.target == target) {
            agent = state.node;
        }
    }
    if (!agent) {
        return std::nullopt;
    }
    m_targets->set_drained(*agent);
    std::vector<node_id> entries;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [node, role] : m_roles) {
            if (role == node_role::entry) {
                entries.push_back(node);
            }
        }
    }
    for (const auto& entry : entries) {
        m_peers.send(entry, goodbye_message{*agent});
    }
    return agent;
}

void entry_service::handle(const node_id& from, const adopt_message& message) {
    const std::uint64_t digest = spec_digest(message.spec);
    const auto found = m_table->find_or_create(message.ref.request, digest, [&] {
        return answer_session::create(m_context, {message.ref.request, message.spec, digest, false});
    });
    if (!found) {
        m_peers.send(from, adopt_reply_message{message.ref, false});
        return;
    }
    found->session->on_adopt(from, message);
}

void entry_service::handle(const node_id& from, const attach_message& message) {
    const auto refuse = [&](const error& failure, bool not_run) {
        m_peers.send(from, failed_message{{message.request, message.answer, 0},
                                          failure.kind,
                                          failure.detail,
                                          not_run,
                                          static_cast<std::uint32_t>(failure.retry_after.count())});
    };
    const auto view = m_views->current();
    const auto known = m_table->find(message.request);
    if (message.digest == 0) {
        // The home entry asks this one as the former home. An entry that only relays the answer has not taken
        // its place.
        const member_info* home = home_entry(*view, message.request, m_options.session.region);
        const bool is_home = home != nullptr && home->node == m_options.session.self;
        if (known ? known->is_relay() : !is_home) {
            refuse({error_kind::not_found, "no answer of this request is known", {}}, false);
            return;
        }
    } else if (!known && message.known.empty() && view->config) {
        const auto admitted =
            admit({m_table->live(), m_options.max_live_answers}, message.spec, view->config->limits);
        if (!admitted) {
            refuse(admitted.error(), is_certainly_not_run(message.request));
            return;
        }
    }
    const auto found = m_table->find_or_create(message.request, message.digest, [&] {
        return answer_session::create(m_context, {message.request, message.spec, message.digest, false});
    });
    if (!found) {
        refuse(found.error(), false);
        return;
    }
    if (found->created) {
        start(found->session, message.answer);
    }
    found->session->on_attach(from, message);
}

void entry_service::handle(const node_id& from, const detach_message& message) {
    if (const auto session = m_table->find(message.request)) {
        session->on_detach(from);
    }
}

} // namespace lovage
