#include "lovage/traffic/generation_host.h"

#include "lovage/control/home_entry.h"

#include <algorithm>
#include <tuple>

namespace lovage {

namespace {

// A connection that breaks while both processes are alive is restored within about 50 ms.
constexpr milliseconds k_home_reconnect_wait{150};
constexpr milliseconds k_batch_delay{5};

attempt_guard::key key_of(const attempt_ref& ref) {
    return {ref.request, ref.answer.value};
}

// Orders resumes first, then by priority; equal ranks stay in order of arrival.
std::tuple<int, int> queue_rank(const generation_session& session) {
    return {session.is_resume() ? 0 : 1, static_cast<int>(session.spec().priority)};
}

} // namespace

generation_host::generation_host(const generation_host_options& options, generation_host_ports ports)
    : m_options(options), m_ports(std::move(ports)) {}

std::unique_ptr<generation_host> generation_host::create(const generation_host_options& options,
                                                         generation_host_ports ports) {
    std::unique_ptr<generation_host> host(new generation_host(options, std::move(ports)));
    host->m_thread = std::thread([raw = host.get()] { raw->run(); });
    return host;
}

generation_host::~generation_host() {
    {
        const std::lock_guard lock(m_mutex);
        m_is_draining = true;
        m_is_stopping = true;
        m_queue.clear();
    }
    for (const auto& session : sessions()) {
        session->cancel();
    }
    m_wake.notify_all();
    m_thread.join();
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_threads == 0; });
}

std::uint32_t generation_host::slots() const {
    const auto load = m_ports.engine.load();
    return load && load->slots > 0 ? load->slots : m_options.default_slots;
}

void generation_host::on_generate(const node_id& from, const std::string& region, generate_message message) {
    const attempt_ref ref = message.ref;
    const auto refuse = [this, &from, &ref](error_kind kind, const char* detail,
                                            std::uint32_t retry_after_ms) {
        m_ports.count("generations_refused_total", 1.0);
        m_ports.peer.send(from, failed_message{ref, kind, detail, true, retry_after_ms});
    };
    session_ports ports;
    ports.engine = m_ports.engine;
    ports.peer = m_ports.peer;
    ports.request_flush = [this](const session_ptr& session) { request_flush(session); };
    ports.on_ended = [this](const session_ptr& session) { on_session_ended(session); };
    ports.count = m_ports.count;
    ports.tokens = m_tokens;
    const std::uint32_t slot_count = slots();
    session_ptr older;
    {
        std::unique_lock lock(m_mutex);
        if (m_is_draining) {
            lock.unlock();
            refuse(error_kind::leaving, "the target is leaving", 0);
            return;
        }
        if (!admit_attempt(m_guard, ref)) {
            const auto found = m_sessions.find(key_of(ref));
            const bool is_known = found != m_sessions.end() && found->second->ref() == ref;
            lock.unlock();
            m_ports.count("old_attempts_refused_total", 1.0);
            if (is_known) {
                return;
            }
            refuse(error_kind::cancelled, "a newer attempt of this answer is known", 0);
            return;
        }
        if (const auto found = m_sessions.find(key_of(ref)); found != m_sessions.end()) {
            older = found->second;
            m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), older), m_queue.end());
            m_sessions.erase(found);
        }
        if (m_running >= slot_count && m_queue.size() >= m_options.max_queued) {
            lock.unlock();
            if (older != nullptr) {
                older->cancel();
            }
            refuse(error_kind::target_busy, "all slots and queue positions are taken", 500);
            return;
        }
        const auto session = generation_session::create(from, region, std::move(message), std::move(ports));
        m_sessions[key_of(ref)] = session;
        const auto place = std::upper_bound(
            m_queue.begin(), m_queue.end(), session,
            [](const session_ptr& a, const session_ptr& b) { return queue_rank(*a) < queue_rank(*b); });
        m_queue.insert(place, session);
    }
    if (older != nullptr) {
        older->cancel();
    }
    m_ports.count("generations_admitted_total", 1.0);
    start_queued();
    m_ports.on_change();
}

// Starts queued attempts while there are free slots.
void generation_host::start_queued() {
    const std::uint32_t slot_count = slots();
    const std::lock_guard lock(m_mutex);
    while (!m_is_stopping && m_running < slot_count && !m_queue.empty()) {
        const session_ptr session = m_queue.front();
        m_queue.erase(m_queue.begin());
        // The new thread cannot decrement the counts before they are incremented, because it needs the lock.
        if (session->start()) {
            ++m_running;
            ++m_threads;
        }
    }
}

void generation_host::on_session_ended(const session_ptr& session) {
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
    }
    if (session->phase() == session_phase::released) {
        remove(session);
    }
    start_queued();
    m_ports.on_change();
    // Must be last and under the lock: the destructor may return as soon as it sees the count drop to 0.
    const std::lock_guard lock(m_mutex);
    --m_threads;
    m_idle.notify_all();
}

void generation_host::remove(const session_ptr& session) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_sessions.find(key_of(session->ref()));
    if (found != m_sessions.end() && found->second == session) {
        m_sessions.erase(found);
    }
    m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), session), m_queue.end());
}

void generation_host::on_cancel(const cancel_message& message) {
    session_ptr session;
    {
        const std::lock_guard lock(m_mutex);
        close_attempt(m_guard, message.ref);
        const auto found = m_sessions.find(key_of(message.ref));
        if (found == m_sessions.end() || found->second->ref().attempt > message.ref.attempt) {
            return;
        }
        session = found->second;
    }
    session->cancel();
    remove(session);
    m_ports.count("generations_cancelled_total", 1.0);
    m_ports.on_change();
}

void generation_host::on_adopt_reply(const node_id& from, const adopt_reply_message& message) {
    session_ptr session;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_sessions.find(key_of(message.ref));
        if (found == m_sessions.end() || found->second->ref() != message.ref) {
            return;
        }
        session = found->second;
    }
    if (!message.accepted) {
        m_ports.count("adoptions_refused_total", 1.0);
        session->cancel();
        remove(session);
        m_ports.on_change();
        return;
    }
    if (session->accept_home(from)) {
        m_ports.count("adoptions_total", 1.0);
    }
}

void generation_host::on_connected(const node_id& /*node*/) {
    const time_point now = monotonic_now();
    for (const auto& session : sessions()) {
        find_home(session, now);
    }
}

void generation_host::on_disconnected(const node_id& node) {
    const time_point now = monotonic_now();
    for (const auto& session : sessions()) {
        if (session->mark_home_lost(node, now)) {
            m_ports.count("homes_lost_total", 1.0);
            find_home(session, now);
        }
    }
}

void generation_host::find_home(const session_ptr& session, time_point now) {
    if (!session->home_lost_at()) {
        return;
    }
    const auto view = m_ports.view();
    const member_info* home = home_entry(*view, session->ref().request, session->region());
    if (home == nullptr) {
        return;
    }
    if (!m_ports.peer.is_connected(home->node)) {
        m_ports.peer.connect(home->node, home->peer_address);
        if (now - *session->home_lost_at() < k_home_reconnect_wait) {
            return;
        }
        // The membership needs seconds to detect the failure of an entry, and callers retry at its successor
        // earlier.
        home =
            reachable_home_entry(*view, session->ref().request, session->region(), m_ports.peer.is_connected);
        if (home == nullptr) {
            return;
        }
    }
    session->offer(home->node, now, m_options.offer_interval);
}

std::vector<generation_host::session_ptr> generation_host::sessions() const {
    const std::lock_guard lock(m_mutex);
    std::vector<session_ptr> all;
    all.reserve(m_sessions.size());
    for (const auto& [key, session] : m_sessions) {
        all.push_back(session);
    }
    return all;
}

void generation_host::request_flush(const session_ptr& session) {
    {
        const std::lock_guard lock(m_mutex);
        m_flushes.emplace_back(monotonic_now() + k_batch_delay, session);
    }
    m_wake.notify_one();
}

void generation_host::run() {
    time_point next_tick = monotonic_now() + m_options.progress_interval;
    std::unique_lock lock(m_mutex);
    while (!m_is_stopping) {
        const time_point due = m_flushes.empty() ? next_tick : std::min(next_tick, m_flushes.front().first);
        m_wake.wait_until(lock, due);
        lock.unlock();
        const time_point now = monotonic_now();
        flush_due(now);
        if (now >= next_tick) {
            tick(now);
            next_tick = now + m_options.progress_interval;
        }
        lock.lock();
    }
}

void generation_host::flush_due(time_point now) {
    while (true) {
        session_ptr session;
        {
            const std::lock_guard lock(m_mutex);
            if (m_flushes.empty() || m_flushes.front().first > now) {
                return;
            }
            session = std::move(m_flushes.front().second);
            m_flushes.pop_front();
        }
        session->flush();
    }
}

void generation_host::tick(time_point now) {
    const auto all = sessions();
    send_progress(all);
    for (const auto& session : all) {
        session->flush();
        find_home(session, now);
        const auto lost_at = session->home_lost_at();
        if (lost_at && now - *lost_at > m_options.home_lost_timeout) {
            m_ports.count("generations_without_home_total", 1.0);
            session->cancel();
        }
        const auto& deadline = session->spec().deadline;
        if (session->phase() == session_phase::queued && deadline != wall_time{} && deadline < wall_now()) {
            session->refuse({error_kind::deadline_exceeded, "the deadline passed in the queue"});
            const std::lock_guard lock(m_mutex);
            m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), session), m_queue.end());
        }
        const auto ended_at = session->ended_at();
        const bool is_old = ended_at && now - *ended_at > m_options.finished_retention;
        if (session->phase() == session_phase::released || (session->is_settled() && is_old)) {
            remove(session);
        }
    }
    const std::lock_guard lock(m_mutex);
    m_idle.notify_all();
}

void generation_host::send_progress(const std::vector<session_ptr>& all) {
    std::map<node_id, progress_message> by_home;
    for (const auto& session : all) {
        const auto phase = session->phase();
        const auto home = session->home();
        if (home && (phase == session_phase::queued || phase == session_phase::running)) {
            by_home[*home].items.push_back({session->ref(), session->next()});
        }
    }
    for (const auto& [home, message] : by_home) {
        m_ports.peer.send(home, message);
    }
}

void generation_host::drain() {
    const std::lock_guard lock(m_mutex);
    m_is_draining = true;
}

bool generation_host::is_idle() const {
    const auto all = sessions();
    const std::lock_guard lock(m_mutex);
    return m_running == 0 && m_queue.empty() &&
           std::all_of(all.begin(), all.end(), [](const session_ptr& s) { return s->is_settled(); });
}

bool generation_host::wait_idle(milliseconds limit) {
    const time_point end = monotonic_now() + limit;
    while (!is_idle()) {
        std::unique_lock lock(m_mutex);
        // Notified at the end of each generation and at each tick.
        if (m_idle.wait_until(lock, end) == std::cv_status::timeout) {
            return false;
        }
    }
    return true;
}

void generation_host::refuse_queued() {
    std::vector<session_ptr> queued;
    {
        const std::lock_guard lock(m_mutex);
        m_is_draining = true;
        queued.swap(m_queue);
    }
    for (const auto& session : queued) {
        session->refuse({error_kind::leaving, "the target is leaving"});
    }
}

host_load generation_host::load() const {
    const std::uint32_t slot_count = slots();
    const std::lock_guard lock(m_mutex);
    return {slot_count, m_running, static_cast<std::uint32_t>(m_queue.size()), m_tokens->load()};
}

} // namespace lovage
