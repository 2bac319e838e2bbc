#pragma once

#include "call_kind.h"
#include "kv_state.h"
#include "token_bucket.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace lovage::fake_platform {

/// Settings of the platform; they do not change while it runs.
struct platform_options {
    std::string address = "127.0.0.1:8000";
    /// Rate limits of the store's reads and writes, in calls per second.
    double read_rate = 2'000;
    double write_rate = 300;
    /// Delay until a change of the VM list becomes visible.
    milliseconds vms_lag{2'000};
    /// Bandwidth of the weight store, shared by all transfers, and the size of one model version.
    std::uint64_t weights_bytes_per_second = 200'000'000;
    std::uint64_t weights_bytes_per_version = 100'000'000;
};

/// Faults that tests set through /faults. Fields that a request leaves out keep their value.
struct fault_settings {
    /// Refuses all calls with status 503.
    bool down = false;
    /// Delay of every call.
    milliseconds slow{0};
    /// Number of further writes that take effect while their connection closes without a response; below 0
    /// for all.
    std::int64_t lose_answers = 0;
    /// Rate limits, in calls per second.
    double read_rate = 0;
    double write_rate = 0;
};

/// Counters since the start of the process, reported by /counts.
struct call_counts {
    std::array<std::uint64_t, k_call_kind_count> by_kind{};
    std::array<std::uint64_t, k_call_class_count> by_class{};
    std::array<std::uint64_t, k_refusal_count> refused{};
    std::uint64_t lost_answers = 0;
    /// Watches that are waiting now.
    std::uint64_t pending_watches = 0;
};

/// How a watch ended: the key changed, the key is absent, nothing happened within the wait, or the store does
/// not have the revision from which to watch.
enum class watch_end : std::uint8_t { changed, removed, waited, history_lost };
inline constexpr std::size_t k_watch_end_count = 4;
inline constexpr enum_names<k_watch_end_count> k_watch_end_names{"changed", "removed", "waited",
                                                                 "history_lost"};

struct watch_reply {
    watch_end end = watch_end::waited;
    store_value value;
};

/// State of the platform, guarded by one mutex; thread-safe. Watches, slowed calls and weight transfers wait
/// on one condition variable. Call `admit` first for each call to the platform.
class platform {
public:
    explicit platform(const platform_options& options);

    /// Counts a call, waits for the delay of the `slow` fault, and returns whether and why the call is
    /// refused.
    refusal admit(call_kind kind);
    /// Returns whether the `lose_answers` fault applies to the response of a write that took effect. Counts
    /// the response as lost if so.
    bool consume_lost_answer();

    /// Returns the value of a key, or nothing if it is absent.
    std::optional<store_value> get(const std::string& key);
    std::vector<std::pair<std::string, store_value>> list(const std::string& prefix, std::size_t limit);
    /// As the functions of kv_state.h. `current_revision` is set to the revision of the key after the call.
    result<std::uint64_t> put(const std::string& key, std::string value, std::uint64_t expected,
                              lease_id lease, std::uint64_t& current_revision);
    result<void> remove(const std::string& key, std::uint64_t expected, std::uint64_t& current_revision);
    lease_id grant(milliseconds ttl);
    result<void> renew(lease_id lease);
    result<void> revoke(lease_id lease);
    /// Blocks until the revision of the key is above `after`, the key is absent while `after` is above 0,
    /// `after` is above the store's last revision, or `wait` has passed.
    watch_reply watch(const std::string& key, std::uint64_t after, milliseconds wait);

    /// Takes a copy of the store, which replaces the one before.
    void take_copy();
    /// Restores the store from the last copy; returns whether there is one.
    bool restore_copy();
    std::uint64_t era() const;

    /// Returns the VM list as JSON text, as it was `vms_lag` ago.
    std::string vms();
    void set_vms(std::string json);
    /// Blocks until the weights of one version have been transferred and returns how long that took.
    /// Transfers run one after the other.
    milliseconds load_weights();

    fault_settings faults() const;
    void set_faults(const fault_settings& faults);
    call_counts counts() const;
    /// Wakes all waiting calls. Later calls do not wait.
    void stop();

private:
    template <class Condition>
    bool wait_until(std::unique_lock<std::mutex>& lock, time_point deadline, Condition condition);
    void expire_leases_locked();

    const platform_options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_state_changed;
    bool m_stopping = false;
    kv_state m_state;
    std::optional<kv_state> m_copy;
    time_point m_copied_at{};
    fault_settings m_faults;
    token_bucket m_read_limit;
    token_bucket m_write_limit;
    call_counts m_counts;
    std::string m_vms;
    std::deque<std::pair<time_point, std::string>> m_pending_vms;
    time_point m_weight_transfers_end{};
};

} // namespace lovage::fake_platform
