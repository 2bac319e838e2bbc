#include "lovage/traffic/session_table.h"

#include <utility>

namespace lovage {

session_table::session_table(session_table_options options) : m_options(options) {}

session_table::table_shard& session_table::shard_of(const request_id& request) const {
    return m_shards[std::hash<request_id>{}(request) % k_shards];
}

result<session_table::found_session>
session_table::find_or_create(const request_id& request, std::uint64_t digest, const session_factory& make) {
    table_shard& shard = shard_of(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.sessions.find(request);
    if (found == shard.sessions.end()) {
        auto session = make();
        shard.sessions.emplace(request, session);
        ++m_live;
        return found_session{std::move(session), true};
    }
    const std::uint64_t known = found->second->digest();
    if (digest != 0 && known != 0 && known != digest) {
        return fail(error_kind::idempotency_conflict,
                    "the idempotency key was used with another request body");
    }
    return found_session{found->second, false};
}

std::shared_ptr<answer_session> session_table::find(const request_id& request) const {
    const table_shard& shard = shard_of(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.sessions.find(request);
    return found == shard.sessions.end() ? nullptr : found->second;
}

void session_table::forget(const request_id& request) {
    table_shard& shard = shard_of(request);
    std::shared_ptr<answer_session> last;
    {
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.sessions.find(request);
        if (found != shard.sessions.end()) {
            last = std::move(found->second);
            shard.sessions.erase(found);
        }
    }
}

void session_table::on_ended(const request_id& request, bool finished, std::size_t bytes, time_point now) {
    --m_live;
    if (!finished) {
        forget(request);
        return;
    }
    {
        const std::lock_guard lock(m_finished_mutex);
        m_finished.push_back({request, bytes, now});
        m_finished_bytes += bytes;
    }
    expire(now);
}

std::vector<request_id> session_table::take_expired(time_point now) {
    const std::lock_guard lock(m_finished_mutex);
    std::vector<request_id> expired;
    while (!m_finished.empty() && (m_finished_bytes > m_options.max_finished_bytes ||
                                   now - m_finished.front().at >= m_options.retention)) {
        m_finished_bytes -= m_finished.front().bytes;
        expired.push_back(m_finished.front().request);
        m_finished.pop_front();
    }
    return expired;
}

void session_table::expire(time_point now) {
    for (const auto& request : take_expired(now)) {
        forget(request);
    }
}

void session_table::record_dispatched(const request_id& request, time_point now) {
    const std::lock_guard lock(m_dispatched_mutex);
    if (now - m_dispatched_since >= m_options.dispatched_id_retention) {
        m_dispatched_previous = std::move(m_dispatched);
        m_dispatched.clear();
        m_dispatched_since = now;
    }
    m_dispatched.insert(request);
}

bool session_table::was_dispatched(const request_id& request) const {
    const std::lock_guard lock(m_dispatched_mutex);
    return m_dispatched.count(request) > 0 || m_dispatched_previous.count(request) > 0;
}

std::size_t session_table::finished_bytes() const {
    const std::lock_guard lock(m_finished_mutex);
    return m_finished_bytes;
}

std::vector<std::shared_ptr<answer_session>> session_table::all() const {
    std::vector<std::shared_ptr<answer_session>> sessions;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [request, session] : shard.sessions) {
            sessions.push_back(session);
        }
    }
    return sessions;
}

void session_table::clear() {
    for (auto& shard : m_shards) {
        std::unordered_map<request_id, std::shared_ptr<answer_session>> dropped;
        const std::lock_guard lock(shard.mutex);
        // Declared before the lock, so that sessions are destroyed after it is released.
        dropped.swap(shard.sessions);
    }
}

} // namespace lovage
