#include "lovage/traffic/entry_service.h"

#include "lovage/control/home_change.h"
#include "lovage/control/home_entry.h"
#include "lovage/core/admission.h"
#include "lovage/core/not_run.h"
#include "lovage/core/spec_check.h"

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>

namespace lovage {

namespace {

// Maximum delay until a new fleet view takes effect. Lost nodes are noticed much earlier, by their
// connections.
constexpr milliseconds k_view_poll_interval{100};
constexpr milliseconds k_expiry_interval{1'000};
constexpr int k_max_id_attempts = 64;

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

bool is_gone(const member_info& member) {
    return member.state == member_state::dead || member.state == member_state::left;
}

} // namespace

std::unique_ptr<entry_service> entry_service::create(entry_options options, peer_port peers,
                                                     std::shared_ptr<const view_publisher> views,
                                                     std::function<void(const std::string&, double)> count) {
    std::unique_ptr<entry_service> service(
        new entry_service(std::move(options), std::move(peers), std::move(views), std::move(count)));
    service->watch_view();
    return service;
}

entry_service::entry_service(entry_options options, peer_port peers,
                             std::shared_ptr<const view_publisher> views,
                             std::function<void(const std::string&, double)> count)
    : m_options(std::move(options)), m_peers(std::move(peers)), m_views(std::move(views)),
      m_timers(std::make_shared<timer_queue>()), m_table(std::make_shared<session_table>(m_options.table)),
      m_evidence(std::make_shared<evidence_recorder>()), m_record(std::make_shared<service_record>()),
      m_random(std::random_device{}()) {
    m_targets = std::make_shared<target_table>(m_options.routing, m_options.zone, m_random());
    auto context = std::make_shared<session_context>();
    context->options = m_options.session;
    context->peers = m_peers;
    context->targets = m_targets;
    m_scheduler = std::make_shared<dispatch_scheduler>(
        m_targets, m_options.max_queued,
        [timers = m_timers](std::function<void()> wake) { timers->at(monotonic_now(), std::move(wake)); });
    context->scheduler = m_scheduler;
    context->timers = m_timers;
    context->views = m_views;
    context->evidence = m_evidence;
    context->record = m_record;
    context->quarantine = std::make_shared<generation_quarantine>();
    context->count = std::move(count);
    context->new_answer_id = [this] {
        const std::lock_guard lock(m_mutex);
        return answer_id{m_random()};
    };
    context->pauses = [this] { return pauses(); };
    context->prospects = [this](const request_id& request) { return prospects(request); };
    context->record_dispatched = [table = m_table](const request_id& request) {
        table->record_dispatched(request, monotonic_now());
    };
    context->was_dispatched = [table = m_table](const request_id& request) {
        return table->was_dispatched(request);
    };
    context->on_ended = [table = m_table, on_answer_ended = m_options.on_answer_ended](
                            const request_id& request, bool finished, std::size_t bytes) {
        table->on_ended(request, finished, bytes, monotonic_now());
        on_answer_ended();
    };
    m_context = std::move(context);
}

entry_service::~entry_service() {
    stop();
}

void entry_service::stop() {
    m_timers->stop();
    for (const auto& session : m_table->all()) {
        session->hand_over();
    }
    m_table->clear();
}

void entry_service::leave() {
    if (m_leaving.exchange(true)) {
        return;
    }
    std::vector<node_id> nodes;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [node, role] : m_roles) {
            nodes.push_back(node);
        }
    }
    for (const auto& node : nodes) {
        m_peers.send(node, goodbye_message{m_options.session.self});
    }
}

entry_readiness entry_service::readiness() const {
    if (m_leaving) {
        return entry_readiness::leaving;
    }
    return m_views->current()->config ? entry_readiness::ready : entry_readiness::no_configuration;
}

// ---- view ----

// Applies a new fleet view: connects to new members and disconnects from those that are gone. Of two entries,
// the one with the lower name opens the connection. Reschedules itself.
void entry_service::watch_view() {
    const time_point now = monotonic_now();
    pauses();
    const auto view = m_views->current();
    if (m_last_view_sequence != view->sequence) {
        m_last_view_sequence = view->sequence;
        std::map<node_id, std::string> wanted;
        for (const auto& member : view->members) {
            const bool connects_from_here =
                member.role == node_role::agent || m_options.session.self < member.node;
            if (connects_from_here && !is_gone(member) && member.node != m_options.session.self) {
                wanted[member.node] = member.peer_address;
            }
        }
        for (const auto& [node, address] : m_connections) {
            if (wanted.find(node) == wanted.end()) {
                m_peers.disconnect(node);
            }
        }
        for (const auto& [node, address] : wanted) {
            m_peers.connect(node, address);
        }
        m_connections = std::move(wanted);
        forget_removed_members(*view);
        m_targets->update_members(*view);
        m_record->record_moves(*view);
    }
    m_scheduler->on_capacity(now);
    if (now >= m_next_expiry) {
        m_next_expiry = now + k_expiry_interval;
        m_table->expire(now);
    }
    m_timers->at(now + k_view_poll_interval, [this] { watch_view(); });
}

void entry_service::forget_removed_members(const fleet_view& view) {
    std::set<node_id> present;
    for (const auto& member : view.members) {
        present.insert(member.node);
    }
    const std::lock_guard lock(m_mutex);
    for (auto lost = m_lost_entries.begin(); lost != m_lost_entries.end();) {
        lost = present.count(lost->first) == 0 ? m_lost_entries.erase(lost) : std::next(lost);
    }
    for (auto agent = m_known_agents.begin(); agent != m_known_agents.end();) {
        agent = present.count(*agent) == 0 ? m_known_agents.erase(agent) : std::next(agent);
    }
}

// ---- peers ----

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

// ---- callers ----

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

process_pauses entry_service::pauses() const {
    const std::lock_guard lock(m_pauses_mutex);
    observe_running(m_pauses, k_view_poll_interval, monotonic_now());
    return m_pauses;
}

adoption_prospects entry_service::prospects(const request_id& request) const {
    const auto view = m_views->current();
    const std::lock_guard lock(m_mutex);
    return {false,
            home_lost_at(*view, request, m_options.session.region, m_options.session.self, m_lost_entries),
            m_agent_joined_at};
}

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

} // namespace lovage
