#include "lovage/traffic/load_reporter.h"

#include <algorithm>
#include <utility>

namespace lovage {

load_reporter::load_reporter(const load_reporter_options& options, peer_port peer,
                             std::function<load_report_message()> make_report)
    : m_options(options), m_peer(std::move(peer)), m_make_report(std::move(make_report)) {}

std::unique_ptr<load_reporter> load_reporter::create(const load_reporter_options& options, peer_port peer,
                                                     std::function<load_report_message()> make_report) {
    return std::unique_ptr<load_reporter>(
        new load_reporter(options, std::move(peer), std::move(make_report)));
}

load_reporter::~load_reporter() {
    stop();
}

void load_reporter::start() {
    m_thread = std::thread([this] { run(); });
}

void load_reporter::stop() {
    if (!m_thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void load_reporter::add_entry(const node_id& entry) {
    {
        const std::lock_guard lock(m_mutex);
        m_entries.insert(entry);
        m_is_changed = true;
    }
    m_wake.notify_all();
}

void load_reporter::remove_entry(const node_id& entry) {
    const std::lock_guard lock(m_mutex);
    m_entries.erase(entry);
}

void load_reporter::notify() {
    {
        const std::lock_guard lock(m_mutex);
        m_is_changed = true;
    }
    m_wake.notify_all();
}

std::set<node_id> load_reporter::entries() const {
    const std::lock_guard lock(m_mutex);
    return m_entries;
}

void load_reporter::run() {
    std::unique_lock lock(m_mutex);
    while (!m_is_stopping) {
        m_is_changed = false;
        const auto entries = m_entries;
        lock.unlock();
        const load_report_message report = m_make_report();
        for (const auto& entry : entries) {
            m_peer.send(entry, report);
        }
        lock.lock();
        const time_point sent = monotonic_now();
        const auto pause =
            std::max(m_options.min_interval, m_options.interval_per_entry * static_cast<int>(entries.size()));
        m_wake.wait_until(lock, sent + pause, [this] { return m_is_stopping; });
        m_wake.wait_until(lock, sent + std::max(pause, m_options.interval),
                          [this] { return m_is_stopping || m_is_changed; });
    }
}

} // namespace lovage
