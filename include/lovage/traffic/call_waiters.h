#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovage {

/// Delivers results of plain calls, which arrive on the peer I/O thread, to the threads that wait for them.
/// Thread-safe.
class call_waiters {
public:
    /// Registration of one thread that waits for the result of a request from one agent. Ends with its
    /// destruction.
    class ticket {
    public:
        ticket(call_waiters& owner, const request_id& request, node_id agent);
        ~ticket();
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;

        /// Blocks until the result arrives. Fails with `peer_unreachable` if the agent's connection is lost
        /// and with `deadline_exceeded` at `deadline`, and with `leaving` after `stop`.
        result<call_result_message> wait_until(time_point deadline);

    private:
        friend class call_waiters;
        call_waiters& m_owner;
        request_id m_request;
        node_id m_agent;
        std::optional<call_result_message> m_result;
        bool m_disconnected = false;
    };

    /// Handlers for the entry's peer events.
    void on_result(const node_id& agent, const call_result_message& message);
    void on_connected(const node_id& agent, incarnation agent_incarnation);
    void on_disconnected(const node_id& agent);

    /// Ends all waits, now and later, at the end of the process.
    void stop();
    bool is_stopped() const;

    /// Returns the incarnation of the agent. Blocks until the agent is connected; `nullopt` if it is not by
    /// `deadline`, or after `stop`.
    std::optional<incarnation> wait_connected(const node_id& agent, time_point deadline);

    /// Blocks until any connection changes or any result arrives, at most until `deadline`.
    void wait_change(time_point deadline);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_stopped = false;
    std::unordered_multimap<request_id, ticket*> m_tickets;
    std::map<node_id, incarnation> m_connected;
};

} // namespace lovage
