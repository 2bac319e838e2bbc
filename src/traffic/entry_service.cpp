#include "lovage/traffic/entry_service.h"

#include "entry_helpers.h"

#include <iterator>
#include <utility>

namespace lovage {

namespace {

// Maximum delay until a new fleet view takes effect. Lost nodes are noticed much earlier, by their
// connections.
constexpr milliseconds k_view_poll_interval{100};
constexpr milliseconds k_expiry_interval{1'000};

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

process_pauses entry_service::pauses() const {
    const std::lock_guard lock(m_pauses_mutex);
    observe_running(m_pauses, k_view_poll_interval, monotonic_now());
    return m_pauses;
}

} // namespace lovage
