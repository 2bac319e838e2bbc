#include "generation.h"

#include "lovage/adapters/log.h"

#include <algorithm>

namespace lovage::standins {

namespace {

constexpr milliseconds k_weight_fetch_retry_delay{500};

bool is_same(const loaded_version& a, const loaded_version& b) {
    return a.model == b.model && a.version == b.version && a.adapter == b.adapter;
}

} // namespace

result<bool> fake_engine::order(const order_message& order) {
    const std::lock_guard lock(m_mutex);
    ++m_counts.orders;
    if (m_options.checks_fencing && order.fencing < m_highest_fencing) {
        ++m_counts.stale_orders;
        return fail(error_kind::stale_fencing,
                    "the highest fencing number is " + std::to_string(m_highest_fencing));
    }
    m_highest_fencing = std::max(m_highest_fencing, order.fencing);
    const auto matches = [&order](const loaded_version& version) { return is_same(version, order.version); };
    bool is_complete = true;
    switch (order.kind) {
    case order_kind::load_version:
        is_complete = find_loaded(order.version) != nullptr;
        if (!is_complete && std::none_of(m_pending_loads.begin(), m_pending_loads.end(), matches)) {
            m_pending_loads.push_back(order.version);
            m_load_requested.notify_one();
        }
        break;
    case order_kind::unload_version:
        m_pending_loads.erase(std::remove_if(m_pending_loads.begin(), m_pending_loads.end(), matches),
                              m_pending_loads.end());
        m_loaded.erase(std::remove_if(m_loaded.begin(), m_loaded.end(),
                                      [&](const loaded_entry& entry) { return matches(entry.version); }),
                       m_loaded.end());
        break;
    case order_kind::set_role:
        m_role = order.role;
        break;
    }
    record_load();
    return is_complete;
}

const fake_engine::loaded_entry* fake_engine::find_loaded(const loaded_version& version) const {
    const auto found = std::find_if(m_loaded.begin(), m_loaded.end(), [&version](const loaded_entry& entry) {
        return is_same(entry.version, version);
    });
    return found == m_loaded.end() ? nullptr : &*found;
}

void fake_engine::run_version_loader() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_load_requested.wait(lock, [this] { return m_stopping || !m_pending_loads.empty(); });
        if (m_stopping) {
            return;
        }
        const loaded_version version = m_pending_loads.front();
        lock.unlock();
        const bool has_weights = m_fetch(version);
        lock.lock();
        const auto delay = has_weights ? m_options.load_time : k_weight_fetch_retry_delay;
        m_load_requested.wait_for(lock, delay, [this] { return m_stopping; });
        // An unload order may have removed the pending load in the meantime.
        if (!has_weights || m_pending_loads.empty() || !is_same(m_pending_loads.front(), version)) {
            continue;
        }
        m_pending_loads.pop_front();
        m_loaded.push_back({version, monotonic_now()});
        record_load();
        log_event(log_level::info, "version loaded",
                  {{"model", version.model}, {"version", version.version}});
    }
}

} // namespace lovage::standins
