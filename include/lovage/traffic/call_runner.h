#pragma once

#include "lovage/control/event_queue.h"
#include "lovage/core/call_ledger.h"
#include "lovage/core/messages.h"
#include "lovage/core/time.h"
#include "lovage/ports/peer_port.h"
#include "lovage/ports/service_port.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

struct call_runner_options {
    /// Incarnation of this agent; claims of non-idempotent calls are bound to it.
    incarnation own = 0;
    std::vector<std::string> services;
    /// Maximum number of concurrent calls.
    std::uint32_t slots = 16;
    /// Maximum number of queued calls; further ones are refused with `target_busy`.
    std::uint32_t max_queued = 64;
    call_ledger_options ledger;
};

struct call_runner_ports {
    service_port service;
    peer_port peer;
    std::function<void(const std::string& name, double by)> count;
    /// Called when the number of running or queued calls has changed.
    std::function<void()> on_change;
};

struct call_load {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// Runs calls to the plain service on its own worker threads. The call ledger deduplicates non-idempotent
/// calls. Thread-safe.
class call_runner {
public:
    static std::unique_ptr<call_runner> create(const call_runner_options& options, call_runner_ports ports);
    /// Waits for running calls.
    ~call_runner();
    call_runner(const call_runner&) = delete;
    call_runner& operator=(const call_runner&) = delete;

    void on_call(const node_id& from, call_message call);
    /// From now on refuses new calls with the statement that they were not run.
    void drain();
    /// Blocks until no call is running or queued. Returns false if that takes longer than `limit`.
    bool wait_idle(milliseconds limit);
    /// Gives the calls that are left their final results, at the end of the process: those that run are
    /// reported as `outcome_unknown`, queued ones as not run. Calls that end later are not reported again.
    void end_calls();
    call_load load() const;

private:
    struct job {
        node_id from;
        call_message call;
        // Guarded by the mutex.
        bool is_running = false;
    };
    using job_ptr = std::shared_ptr<job>;

    call_runner(const call_runner_options& options, call_runner_ports ports);
    void run_worker();
    call_result_message run_call(const call_message& call) const;
    std::optional<error> refusal_reason(const call_message& call) const;
    void refuse(const job& refused, const error& reason);
    bool start_job(const job_ptr& next);
    void finish_job(const job_ptr& done, const call_result_message& result);
    void deliver(const job& done, const call_result_message& result);

    const call_runner_options m_options;
    const call_runner_ports m_ports;
    event_queue<job_ptr> m_jobs;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    call_ledger m_ledger;
    // The jobs that are queued or running and have no result yet.
    std::set<job_ptr> m_unanswered;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    bool m_is_draining = false;
    std::vector<std::thread> m_workers;
};

} // namespace lovage
