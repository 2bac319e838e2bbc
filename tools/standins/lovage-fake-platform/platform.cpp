#include "platform.h"

#include <algorithm>

namespace lovage::fake_platform {

platform::platform(const platform_options& options)
    : m_options(options), m_faults{false, milliseconds(0), 0, options.read_rate, options.write_rate},
      m_read_limit(make_bucket(options.read_rate, monotonic_now())),
      m_write_limit(make_bucket(options.write_rate, monotonic_now())), m_vms(R"({"vms":[]})") {}

// Waits until `condition` is true; returns false at `deadline` or after `stop`. Leases that are due meanwhile
// expire, since that may make the condition true.
template <class Condition>
bool platform::wait_until(std::unique_lock<std::mutex>& lock, time_point deadline, Condition condition) {
    while (!m_stopping) {
        expire_leases_locked();
        if (condition()) {
            return true;
        }
        if (monotonic_now() >= deadline) {
            return false;
        }
        const auto lease_end = next_lease_expiry(m_state);
        m_state_changed.wait_until(lock, lease_end ? std::min(*lease_end, deadline) : deadline);
    }
    return false;
}

void platform::expire_leases_locked() {
    if (expire_leases(m_state, monotonic_now())) {
        m_state_changed.notify_all();
    }
}

refusal platform::admit(call_kind kind) {
    std::unique_lock lock(m_mutex);
    const auto index = static_cast<std::size_t>(kind);
    const call_class rate_class = k_call_classes.at(index);
    ++m_counts.by_kind.at(index);
    ++m_counts.by_class.at(static_cast<std::size_t>(rate_class));
    if (m_faults.slow.count() > 0) {
        // A sleep that `stop` interrupts.
        wait_until(lock, monotonic_now() + m_faults.slow, [] { return false; });
    }
    refusal refused = refusal::none;
    if (m_faults.down) {
        refused = refusal::down;
    } else if ((rate_class == call_class::read && !try_take_token(m_read_limit, monotonic_now())) ||
               (rate_class == call_class::write && !try_take_token(m_write_limit, monotonic_now()))) {
        refused = refusal::rate;
    }
    ++m_counts.refused.at(static_cast<std::size_t>(refused));
    expire_leases_locked();
    return refused;
}

bool platform::consume_lost_answer() {
    const std::lock_guard lock(m_mutex);
    if (m_faults.lose_answers == 0) {
        return false;
    }
    m_faults.lose_answers -= m_faults.lose_answers > 0 ? 1 : 0;
    ++m_counts.lost_answers;
    return true;
}

std::optional<store_value> platform::get(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_state.entries.find(key);
    if (found == m_state.entries.end()) {
        return std::nullopt;
    }
    return store_value{found->second.value, found->second.revision};
}

std::vector<std::pair<std::string, store_value>> platform::list(const std::string& prefix,
                                                                std::size_t limit) {
    const std::lock_guard lock(m_mutex);
    return fake_platform::list(m_state, prefix, limit);
}

result<std::uint64_t> platform::put(const std::string& key, std::string value, std::uint64_t expected,
                                    lease_id lease, std::uint64_t& current_revision) {
    const std::lock_guard lock(m_mutex);
    auto written = fake_platform::put(m_state, key, std::move(value), expected, lease);
    current_revision = revision_of(m_state, key);
    m_state_changed.notify_all();
    return written;
}

result<void> platform::remove(const std::string& key, std::uint64_t expected,
                              std::uint64_t& current_revision) {
    const std::lock_guard lock(m_mutex);
    auto removed = fake_platform::remove(m_state, key, expected);
    current_revision = revision_of(m_state, key);
    m_state_changed.notify_all();
    return removed;
}

lease_id platform::grant(milliseconds ttl) {
    const std::lock_guard lock(m_mutex);
    const lease_id lease = fake_platform::grant(m_state, ttl, monotonic_now());
    m_state_changed.notify_all();
    return lease;
}

result<void> platform::renew(lease_id lease) {
    const std::lock_guard lock(m_mutex);
    return fake_platform::renew(m_state, lease, monotonic_now());
}

result<void> platform::revoke(lease_id lease) {
    const std::lock_guard lock(m_mutex);
    auto revoked = fake_platform::revoke(m_state, lease);
    m_state_changed.notify_all();
    return revoked;
}

watch_reply platform::watch(const std::string& key, std::uint64_t after, milliseconds wait) {
    std::unique_lock lock(m_mutex);
    ++m_counts.pending_watches;
    watch_reply reply;
    wait_until(lock, monotonic_now() + wait, [&] {
        const auto found = m_state.entries.find(key);
        if (after > m_state.last_revision) {
            reply.end = watch_end::history_lost;
        } else if (found == m_state.entries.end()) {
            reply.end = after > 0 ? watch_end::removed : watch_end::waited;
        } else if (found->second.revision > after) {
            reply = {watch_end::changed, {found->second.value, found->second.revision}};
        }
        return reply.end != watch_end::waited;
    });
    --m_counts.pending_watches;
    return reply;
}

void platform::take_copy() {
    const std::lock_guard lock(m_mutex);
    expire_leases_locked();
    m_copy = m_state;
    m_copied_at = monotonic_now();
}

bool platform::restore_copy() {
    const std::lock_guard lock(m_mutex);
    if (!m_copy) {
        return false;
    }
    restore(m_state, *m_copy, m_copied_at, monotonic_now());
    m_state_changed.notify_all();
    return true;
}

std::uint64_t platform::era() const {
    const std::lock_guard lock(m_mutex);
    return m_state.era;
}

std::string platform::vms() {
    const std::lock_guard lock(m_mutex);
    while (!m_pending_vms.empty() && m_pending_vms.front().first <= monotonic_now()) {
        m_vms = std::move(m_pending_vms.front().second);
        m_pending_vms.pop_front();
    }
    return m_vms;
}

void platform::set_vms(std::string json) {
    const std::lock_guard lock(m_mutex);
    m_pending_vms.emplace_back(monotonic_now() + m_options.vms_lag, std::move(json));
}

milliseconds platform::load_weights() {
    std::unique_lock lock(m_mutex);
    const auto start = monotonic_now();
    const std::chrono::microseconds duration(m_options.weights_bytes_per_version * 1'000'000 /
                                             m_options.weights_bytes_per_second);
    m_weight_transfers_end = std::max(m_weight_transfers_end, start) + duration;
    // A sleep that `stop` interrupts.
    wait_until(lock, m_weight_transfers_end, [] { return false; });
    return std::chrono::duration_cast<milliseconds>(monotonic_now() - start);
}

fault_settings platform::faults() const {
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void platform::set_faults(const fault_settings& faults) {
    const std::lock_guard lock(m_mutex);
    const auto now = monotonic_now();
    if (faults.read_rate != m_faults.read_rate) {
        m_read_limit = make_bucket(faults.read_rate, now);
    }
    if (faults.write_rate != m_faults.write_rate) {
        m_write_limit = make_bucket(faults.write_rate, now);
    }
    m_faults = faults;
}

call_counts platform::counts() const {
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void platform::stop() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_state_changed.notify_all();
}

} // namespace lovage::fake_platform
