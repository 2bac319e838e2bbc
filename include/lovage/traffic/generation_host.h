#pragma once

#include "lovage/control/fleet_view.h"
#include "lovage/core/attempt_guard.h"
#include "lovage/core/messages.h"
#include "lovage/core/time.h"
#include "lovage/ports/engine_port.h"
#include "lovage/ports/peer_port.h"
#include "lovage/traffic/generation_session.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lovage {

struct generation_host_options {
    /// Number of slots until the engine reports its own.
    std::uint32_t default_slots = 8;
    /// Maximum number of queued attempts; further ones are refused with `target_busy`.
    std::uint32_t max_queued = 8;
    milliseconds progress_interval{200};
    /// How long a generation continues without a home entry before it is cancelled.
    milliseconds home_lost_timeout{30'000};
    /// How long a finished generation is retained, in case its home entry fails before it has passed the
    /// answer on.
    milliseconds finished_retention{5'000};
    /// Retry interval of an adoption offer that was not answered.
    milliseconds offer_interval{1'000};
};

struct generation_host_ports {
    engine_port engine;
    peer_port peer;
    std::function<fleet_view_ptr()> view;
    std::function<void(const std::string& name, double by)> count;
    /// Called when the number of running or queued attempts has changed.
    std::function<void()> on_change;
};

/// Current load, for load reports.
struct host_load {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t tokens_total = 0;
};

/// Manages all generations of an agent: admits attempts up to the engine's slots plus a small queue, sends
/// progress heartbeats, and offers generations whose home entry is lost to a new one. Thread-safe. One thread
/// sends token batches and progress.
class generation_host {
public:
    static std::unique_ptr<generation_host> create(const generation_host_options& options,
                                                   generation_host_ports ports);
    /// Cancels all generations and waits for their threads.
    ~generation_host();
    generation_host(const generation_host&) = delete;
    generation_host& operator=(const generation_host&) = delete;

    /// Handles a message from an entry, whose region is `region`.
    void on_generate(const node_id& from, const std::string& region, generate_message message);
    void on_cancel(const cancel_message& message);
    void on_adopt_reply(const node_id& from, const adopt_reply_message& message);
    void on_connected(const node_id& node);
    void on_disconnected(const node_id& node);

    /// From now on refuses new attempts with the statement that they were not run.
    void drain();
    bool is_idle() const;
    /// Blocks until no attempt is running or queued. Returns false if that takes longer than `limit`.
    bool wait_idle(milliseconds limit);
    /// Refuses the queued attempts as not run, at the end of the process.
    void refuse_queued();
    host_load load() const;

private:
    using session_ptr = std::shared_ptr<generation_session>;
    using session_key = attempt_guard::key;

    generation_host(const generation_host_options& options, generation_host_ports ports);
    std::uint32_t slots() const;
    void start_queued();
    void remove(const session_ptr& session);
    void on_session_ended(const session_ptr& session);
    void request_flush(const session_ptr& session);
    std::vector<session_ptr> sessions() const;
    void run();
    void flush_due(time_point now);
    void tick(time_point now);
    void send_progress(const std::vector<session_ptr>& all);
    void find_home(const session_ptr& session, time_point now);

    const generation_host_options m_options;
    const generation_host_ports m_ports;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_idle;
    std::map<session_key, session_ptr> m_sessions;
    std::vector<session_ptr> m_queue;
    std::deque<std::pair<time_point, session_ptr>> m_flushes;
    attempt_guard m_guard;
    std::uint32_t m_running = 0;
    /// Generation threads that may still access this object; the destructor waits for them.
    std::uint32_t m_threads = 0;
    const std::shared_ptr<std::atomic<std::uint64_t>> m_tokens =
        std::make_shared<std::atomic<std::uint64_t>>(0);
    bool m_is_draining = false;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace lovage
