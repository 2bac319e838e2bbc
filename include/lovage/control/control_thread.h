#pragma once

#include "lovage/control/control_event.h"
#include "lovage/control/control_state.h"
#include "lovage/control/view_publisher.h"
#include "lovage/core/config_copy.h"
#include "lovage/core/result.h"
#include "lovage/ports/gossip_port.h"
#include "lovage/ports/store_port.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lovage {

/// The outside services that the control thread uses. `store` and `fetch_config` block and are called on
/// worker threads; the others are called on the control thread and must not block.
struct control_ports {
    store_port store;
    gossip_port gossip;
    control_codecs codecs;
    std::function<result<config_copy>(const std::string& http_address)> fetch_config;
    /// Increases a metric counter.
    std::function<void(const std::string& name, double by)> count;
    /// Sends a leader's order, such as to load a model version, to an agent.
    std::function<void(const node_id& agent, const order_message&)> send_order;
    std::function<void(std::string_view event, std::string detail)> log;
};

/// Runs the single thread that changes the control state, and one worker thread for each lane of blocking
/// calls. The public functions may be called from any thread.
class control_thread {
public:
    /// Starts the threads; `publisher` must outlive the object. Fails with `invalid_settings` if the node id
    /// in `options.self` is empty, or if a name or address there is longer than a gossip datagram allows.
    static result<std::unique_ptr<control_thread>> start(control_options options, control_ports ports,
                                                         view_publisher& publisher);
    /// Announces that the process has left and joins the threads; blocks until calls in progress have ended.
    ~control_thread();
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    /// Queues an event for the control thread without blocking. Returns false and counts the rejected event
    /// if the queue is full.
    bool post(control_event event);
    /// Starts to announce to members that this process is leaving; does not block.
    void leave();
    /// The active configuration; null until one is known.
    std::shared_ptr<const config_copy> current_config() const;

private:
    control_thread();
    struct state;
    std::unique_ptr<state> m_state;
};

/// Executes a blocking call through the ports and returns its result. Called on worker threads.
io_event run_io(const io_request& request, const control_ports& ports);

} // namespace lovage
