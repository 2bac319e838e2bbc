#pragma once

#include "lovage/control/gateway_state.h"
#include "lovage/ports/store_port.h"

#include <functional>
#include <memory>

namespace lovage {

/// What the gateway's control thread needs from outside.
struct gateway_control_ports {
    /// For the thread that follows the store, and for the one that writes there.
    store_port store;
    store_port writes;
    gateway_documents documents;
    move_limits moves;
    /// Hands a new view to the traffic thread; called on the control thread.
    std::function<void(gateway_view_ptr)> publish;
    /// Called on several threads.
    std::function<void(const belief_log&)> log;
};

/// The one thread that changes what the gateway believes, with a thread that follows the store and one that
/// writes there.
class gateway_control {
public:
    static std::unique_ptr<gateway_control> start(gateway_control_ports ports);
    /// Gives what the processes have seen of versions to the control thread; never blocks, false if it is
    /// busy.
    bool post(move_evidence evidence);
    /// Ends calls in progress and the threads.
    ~gateway_control();
    gateway_control(const gateway_control&) = delete;
    gateway_control& operator=(const gateway_control&) = delete;

private:
    gateway_control();
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace lovage
