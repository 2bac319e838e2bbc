#pragma once

#include "lovage/control/event_queue.h"
#include "lovage/core/messages.h"
#include "lovage/core/order_guard.h"
#include "lovage/ports/engine_port.h"
#include "lovage/ports/peer_port.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace lovage {

struct order_runner_ports {
    engine_port engine;
    peer_port peer;
    /// The current fencing term from the store or a peer, or `nullopt` if it is not known. May block.
    std::function<std::optional<fencing_number>()> current_term;
    std::function<void(const std::string& name, double by)> count;
};

/// Executes orders (control commands for the engine) one at a time on its own thread. The order guard rejects
/// those with an outdated fencing number. Thread-safe.
class order_runner {
public:
    static std::unique_ptr<order_runner> create(order_runner_ports ports);
    ~order_runner();
    order_runner(const order_runner&) = delete;
    order_runner& operator=(const order_runner&) = delete;

    void on_order(const node_id& from, order_message order);
    fencing_number highest_fencing() const;

private:
    struct job {
        node_id from;
        order_message order;
    };

    explicit order_runner(order_runner_ports ports);
    void run();
    result<void> execute(const order_message& order);
    void send_result(const job& done, const result<void>& outcome);

    const order_runner_ports m_ports;
    event_queue<job> m_jobs;
    mutable std::mutex m_mutex;
    order_guard m_guard;
    std::thread m_thread;
};

} // namespace lovage
