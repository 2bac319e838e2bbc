#pragma once

#include "listener.h"

#include "lovage/core/result.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovage::standins {

/// Options of a listener and its rules at start.
struct listener_setup {
    listener_options options;
    std::vector<link_rule> rules;
};

/// Current rules and counters of one listener.
struct listener_report {
    std::vector<link_rule> rules;
    listener_counts counts;
};

/// Forwards TCP connections and UDP datagrams and injects the faults that the rules describe. One I/O thread
/// handles all traffic. The functions are thread-safe and block until the I/O thread has run them.
class fault_proxy {
public:
    /// Starts all listeners. Fails with `invalid_settings` if an address cannot be used.
    static result<std::unique_ptr<fault_proxy>> start(const std::vector<listener_setup>& listeners,
                                                      std::uint64_t random_seed);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Replaces the rules of the named listeners ("*" for all), also for open connections. Fails with
    /// `not_found`, and changes nothing, if there is no listener of a name.
    result<void> set_rules(const std::map<std::string, std::vector<link_rule>>& rules);
    std::map<std::string, listener_report> report();

private:
    fault_proxy();
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace lovage::standins
