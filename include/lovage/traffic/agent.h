#pragma once

#include "lovage/control/fleet_view.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/messages.h"
#include "lovage/core/time.h"
#include "lovage/ports/engine_port.h"
#include "lovage/ports/peer_port.h"
#include "lovage/ports/service_port.h"
#include "lovage/traffic/call_runner.h"
#include "lovage/traffic/generation_host.h"
#include "lovage/traffic/load_reporter.h"
#include "lovage/traffic/order_runner.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

enum class target_kind : std::uint8_t { engine, service };
inline constexpr std::size_t k_target_kind_count = 2;
inline constexpr enum_names<k_target_kind_count> k_target_kind_names{"engine", "service"};

struct agent_options {
    node_id node;
    lovage::incarnation incarnation = 0;
    target_kind kind = target_kind::engine;
    std::string target;
    std::vector<std::string> services;
    generation_host_options generations;
    /// `services` and `own` are filled in from the fields above and `incarnation`.
    call_runner_options calls;
    load_reporter_options reports;
};

struct agent_ports {
    /// Required if the target is an engine.
    engine_port engine;
    /// Required if the target is a plain service.
    service_port service;
    peer_port peer;
    std::function<fleet_view_ptr()> view;
    /// The current fencing term of the control leader, or `nullopt` if it is not known. May block.
    std::function<std::optional<fencing_number>()> current_term;
    std::function<void(const std::string& name, double by)> count;
};

/// Data plane of an agent: dispatches messages from entries to the components that run generations, plain
/// calls and orders (control commands for the engine). Thread-safe.
class agent {
public:
    static std::unique_ptr<agent> create(const agent_options& options, agent_ports ports);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    /// Callbacks for the peer connections. The agent must outlive the connections.
    peer_events events();

    /// Starts draining: tells the connected entries, and refuses new work from now on.
    void drain();
    /// Blocks until no work is left. Returns false if work remains after `limit`.
    bool wait_idle(milliseconds limit);
    /// Gives the calls and queued generations that are left their final results, at the end of the process.
    /// Entries resume running generations elsewhere when the connection closes.
    void end_work();
    load_report_message report() const;
    std::vector<node_id> connected_entries() const;

private:
    agent(const agent_options& options, agent_ports ports);
    void create_components();
    void on_connected(const hello_message& hello);
    void on_disconnected(const node_id& node);
    void on_message(const node_id& from, peer_message message);
    void on_call(const node_id& from, call_message call);
    std::optional<hello_message> find_entry(const node_id& node) const;

    const agent_options m_options;
    const agent_ports m_ports;
    std::atomic<bool> m_is_draining{false};
    mutable std::mutex m_mutex;
    std::map<node_id, hello_message> m_entries;
    /// Declared first so that it is destroyed last: the components below notify it.
    std::unique_ptr<load_reporter> m_reporter;
    std::unique_ptr<generation_host> m_generations;
    /// Absent if the target is an engine.
    std::unique_ptr<call_runner> m_calls;
    std::unique_ptr<order_runner> m_orders;
};

} // namespace lovage
