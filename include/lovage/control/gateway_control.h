#pragma once

#include "lovage/control/gateway_state.h"
#include "lovage/ports/store_port.h"

#include <functional>
#include <memory>

namespace lovage {

/// What the gateway's control thread needs from outside.
struct gateway_control_ports {
    store_port store;
    gateway_documents documents;
    /// Hands a new view to the traffic thread; called on the control thread.
    std::function<void(gateway_view_ptr)> publish;
    std::function<void(const belief_log&)> log;
};

/// The one thread that changes what the gateway believes, with a thread that follows the store.
class gateway_control {
public:
    static std::unique_ptr<gateway_control> start(gateway_control_ports ports);
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
