#include "generation.h"

#include <utility>

namespace lovage::standins {

namespace {

constexpr std::size_t k_max_cache_events = 10'000;

} // namespace

load_snapshot fake_engine::load() {
    const std::lock_guard lock(m_mutex);
    const auto at = monotonic_now() - m_options.load_lag;
    load_snapshot found = m_load_history.front();
    for (const auto& snapshot : m_load_history) {
        if (snapshot.at > at) {
            break;
        }
        found = snapshot;
    }
    return found;
}

std::pair<std::vector<cache_event>, std::uint64_t> fake_engine::cache_events(std::uint64_t since) {
    const std::lock_guard lock(m_mutex);
    const auto at = monotonic_now() - m_options.cache_event_lag;
    std::vector<cache_event> events;
    std::uint64_t next = since;
    for (const auto& event : m_cache_events) {
        if (event.at > at) {
            break;
        }
        if (event.sequence >= since) {
            events.push_back(event);
            next = event.sequence + 1;
        }
    }
    return {events, next};
}

void fake_engine::record_load() {
    load_snapshot snapshot;
    snapshot.at = monotonic_now();
    snapshot.running = static_cast<std::uint32_t>(m_running.size());
    snapshot.queued = static_cast<std::uint32_t>(m_queued.size());
    snapshot.role = m_role;
    for (const auto& entry : m_loaded) {
        snapshot.loaded.push_back(entry.version);
    }
    // `load` needs the newest snapshot that is older than the lag, but none before it.
    const auto oldest = snapshot.at - m_options.load_lag;
    while (m_load_history.size() > 1 && m_load_history[1].at <= oldest) {
        m_load_history.pop_front();
    }
    m_load_history.push_back(std::move(snapshot));
}

void fake_engine::record_cache_changes(const std::vector<prefix_cache::change>& changes) {
    const auto now = monotonic_now();
    for (const auto& [change, prefix] : changes) {
        const std::uint64_t sequence = m_next_cache_event++;
        if (std::uniform_real_distribution<>(0.0, 1.0)(m_random) >= m_options.cache_event_gap) {
            m_cache_events.push_back({now, sequence, prefix, change});
        }
    }
    while (m_cache_events.size() > k_max_cache_events) {
        m_cache_events.pop_front();
    }
}

} // namespace lovage::standins
