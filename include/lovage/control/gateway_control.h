#pragma once

#include "lovage/control/gateway_state.h"
#include "lovage/core/store_follow.h"
#include "lovage/ports/store_port.h"

#include <functional>
#include <memory>

namespace lovage {

/// The outside services that the gateway's control thread uses.
struct gateway_control_ports {
    /// Used by the watcher thread only.
    store_port store;
    /// Used by the writer thread only; separate, so that a blocking watch does not delay a write.
    store_port writes;
    gateway_documents documents;
    /// Limits that decide how often the store is read.
    freshness_limits freshness;
    /// Differs between processes, so that they do not repeat refused calls at the same time.
    std::uint64_t random_seed = 0;
    /// Limits of the requests that a new version may get before its evaluation has passed.
    move_limits moves;
    /// Hands a new view to the traffic thread; called on the control thread.
    std::function<void(gateway_view_ptr)> publish;
    /// Writes a log line; called on several threads.
    std::function<void(const gateway_log&)> log;
};

/// Runs the single thread that changes the gateway's control state, a thread that watches the store for
/// changes, and a thread that writes the records of moves and of quarantined prompts to the store.
class gateway_control {
public:
    static std::unique_ptr<gateway_control> start(gateway_control_ports ports);
    /// Queues evidence about versions for the control thread without blocking. Returns false if the queue is
    /// at least half full; the rest is kept free for updates from the store. May be called from any thread.
    bool post(move_evidence evidence);
    /// Queues quarantined prompt parts, which are kept in the store for `k_crash_retention`, without
    /// blocking. Returns false if the queue is full. May be called from any thread.
    bool post(quarantine_record record);
    /// Records that a peer has read a change with this revision; the store is then read early. Does not block
    /// for long. May be called from any thread.
    void announce_revision(std::uint64_t revision);
    /// Sets the number of live peers, which share the reading of the store. May be called from any thread.
    void set_live_peers(std::size_t count);
    /// Aborts calls in progress and joins the threads.
    ~gateway_control();
    gateway_control(const gateway_control&) = delete;
    gateway_control& operator=(const gateway_control&) = delete;

private:
    gateway_control();
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace lovage
