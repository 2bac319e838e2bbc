#pragma once

#include "lovage/ports/peer_port.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

/// Fake peer connections that record the messages sent to each node. Sending fails unless the node is
/// connected. Thread-safe.
class fake_peers {
public:
    peer_port port() {
        peer_port port;
        port.send = [this](const node_id& node, const peer_message& message) {
            const std::lock_guard lock(m_mutex);
            if (m_connected.count(node) == 0) {
                return false;
            }
            m_sent.emplace_back(node, message);
            return true;
        };
        port.connect = [this](const node_id& node, const std::string& address) {
            const std::lock_guard lock(m_mutex);
            m_connects[node] = address;
        };
        port.disconnect = [](const node_id&) {};
        port.is_connected = [this](const node_id& node) {
            const std::lock_guard lock(m_mutex);
            return m_connected.count(node) != 0;
        };
        return port;
    }

    void set_connected(const node_id& node, bool is_connected) {
        const std::lock_guard lock(m_mutex);
        if (is_connected) {
            m_connected.insert(node);
        } else {
            m_connected.erase(node);
        }
    }

    /// Returns the messages of one type that were sent to `node`, in order.
    template <class Message>
    std::vector<Message> sent(const node_id& node) const {
        const std::lock_guard lock(m_mutex);
        std::vector<Message> found;
        for (const auto& [receiver, message] : m_sent) {
            if (const auto* wanted = std::get_if<Message>(&message); wanted != nullptr && receiver == node) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    /// Returns all messages that were sent, in order.
    std::vector<std::pair<node_id, peer_message>> all() const {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }

    std::map<node_id, std::string> connects() const {
        const std::lock_guard lock(m_mutex);
        return m_connects;
    }

private:
    mutable std::mutex m_mutex;
    std::set<node_id> m_connected;
    std::map<node_id, std::string> m_connects;
    std::vector<std::pair<node_id, peer_message>> m_sent;
};

} // namespace lovage
