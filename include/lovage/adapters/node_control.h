#pragma once

#include "lovage/adapters/http_server.h"
#include "lovage/adapters/metrics.h"
#include "lovage/control/control_thread.h"
#include "lovage/control/view_publisher.h"
#include "lovage/core/result.h"
#include "lovage/ports/store_port.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

struct node_control_options {
    control_options control;
    /// "ip:port" of the platform's store.
    std::string store_address;
};

/// The control thread of a process with its adapters for gossip, the store, configuration and logging.
class node_control {
public:
    /// Opens the gossip socket and starts the control thread. Fails with `invalid_settings`. `counters` and
    /// `publisher` must outlive it; `send_order` is called on the control thread and must not block.
    static result<std::unique_ptr<node_control>>
    start(const node_control_options& options, metrics& counters, view_publisher& publisher,
          std::function<void(const node_id& agent, const order_message&)> send_order);
    ~node_control();
    node_control(const node_control&) = delete;
    node_control& operator=(const node_control&) = delete;

    control_thread& control() { return *m_control; }
    const store_port& store() const { return m_store; }
    /// Reads the leader's term from the store. Returns nullopt if there is no leader or the store does not
    /// respond. Blocks.
    std::optional<fencing_number> current_term() const;
    /// Returns the routes of `adapters/admin_http.h` for this process. `refresh` is called to update gauges
    /// before the metrics are read.
    std::vector<http_route> routes(const node_id& node, std::function<void()> refresh);

private:
    node_control(metrics& counters, view_publisher& publisher);
    struct gossip_holder;

    metrics& m_counters;
    view_publisher& m_publisher;
    store_port m_store;
    std::unique_ptr<gossip_holder> m_gossip;
    std::unique_ptr<control_thread> m_control;
};

} // namespace lovage
