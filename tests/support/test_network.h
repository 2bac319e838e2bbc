#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/time.h"
#include "lovage/ports/peer_port.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lovage::test {

/// In-process peer connections between test nodes. One thread delivers messages and connection events, as the
/// I/O thread of the real transport does.
class test_network {
public:
    test_network() : m_thread([this] { run(); }) {}
    ~test_network() {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_thread.join();
    }
    test_network(const test_network&) = delete;
    test_network& operator=(const test_network&) = delete;

    /// Adds a node. Connections are opened when it or another node requests them.
    void add(const node_id& node, node_role role, peer_events events) {
        const std::lock_guard lock(m_mutex);
        m_nodes[node] = {role, std::move(events)};
        for (const auto& [from, to] : m_wanted) {
            if (from == node || to == node) {
                open(from, to);
            }
        }
    }

    peer_port port_of(const node_id& node) {
        peer_port port;
        port.send = [this, node](const node_id& to, const peer_message& message) {
            return send(node, to, message);
        };
        port.connect = [this, node](const node_id& to, const std::string&) {
            const std::lock_guard lock(m_mutex);
            m_wanted.insert({node, to});
            open(node, to);
        };
        port.disconnect = [this, node](const node_id& to) { cut(node, to); };
        port.is_connected = [this, node](const node_id& to) {
            const std::lock_guard lock(m_mutex);
            return m_links.count(link_of(node, to)) > 0;
        };
        return port;
    }

    bool send(const node_id& from, const node_id& to, peer_message message) {
        const std::lock_guard lock(m_mutex);
        if (m_links.count(link_of(from, to)) == 0) {
            return false;
        }
        post([this, from, to, message = std::move(message)] {
            const auto events = events_of(to);
            if (events && events->on_message) {
                events->on_message(from, message);
            }
        });
        return true;
    }

    /// Closes the connection between two nodes until it is requested again or `restore` is called.
    void cut(const node_id& a, const node_id& b) {
        const std::lock_guard lock(m_mutex);
        close(a, b);
    }
    /// Closes all connections of a node and removes it, like the loss of a process.
    void kill(const node_id& node) {
        const std::lock_guard lock(m_mutex);
        m_nodes.erase(node);
        const auto links = m_links;
        for (const auto& [a, b] : links) {
            if (a == node || b == node) {
                close(a, b);
            }
        }
    }
    /// Reopens the requested connections of a node.
    void restore(const node_id& node) {
        const std::lock_guard lock(m_mutex);
        for (const auto& [from, to] : m_wanted) {
            if (from == node || to == node) {
                open(from, to);
            }
        }
    }
    /// Stops delivery to the node but leaves its connections open, like a process that hangs.
    void freeze(const node_id& node) {
        const std::lock_guard lock(m_mutex);
        m_nodes.erase(node);
    }
    /// Blocks until the delivery queue is empty.
    void wait_delivered() {
        std::unique_lock lock(m_mutex);
        m_idle.wait(lock, [this] { return m_queue.empty() && !m_delivering; });
    }

private:
    using link = std::pair<node_id, node_id>;
    struct node_entry {
        node_role role = node_role::entry;
        peer_events events;
    };

    static link link_of(const node_id& a, const node_id& b) { return a < b ? link{a, b} : link{b, a}; }

    void post(std::function<void()> delivery) {
        m_queue.push_back(std::move(delivery));
        m_changed.notify_all();
    }
    void open(const node_id& a, const node_id& b) {
        if (m_nodes.count(a) == 0 || m_nodes.count(b) == 0 || !m_links.insert(link_of(a, b)).second) {
            return;
        }
        post_connected(a, b);
        post_connected(b, a);
    }
    void post_connected(const node_id& to, const node_id& other) {
        hello_message hello;
        hello.node = other;
        hello.role = m_nodes[other].role;
        hello.incarnation = 1;
        post([this, to, hello] {
            const auto events = events_of(to);
            if (events && events->on_connected) {
                events->on_connected(hello);
            }
        });
    }
    void close(const node_id& a, const node_id& b) {
        if (m_links.erase(link_of(a, b)) == 0) {
            return;
        }
        post_disconnected(a, b);
        post_disconnected(b, a);
    }
    void post_disconnected(const node_id& to, const node_id& other) {
        post([this, to, other] {
            const auto events = events_of(to);
            if (events && events->on_disconnected) {
                events->on_disconnected(other);
            }
        });
    }
    std::optional<peer_events> events_of(const node_id& node) {
        const std::lock_guard lock(m_mutex);
        const auto found = m_nodes.find(node);
        return found == m_nodes.end() ? std::nullopt : std::optional<peer_events>(found->second.events);
    }
    void run() {
        std::unique_lock lock(m_mutex);
        while (!m_stopping) {
            if (m_queue.empty()) {
                m_idle.notify_all();
                m_changed.wait(lock);
                continue;
            }
            auto delivery = std::move(m_queue.front());
            m_queue.pop_front();
            m_delivering = true;
            lock.unlock();
            delivery();
            lock.lock();
            m_delivering = false;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_idle;
    std::map<node_id, node_entry> m_nodes;
    std::set<link> m_wanted;
    std::set<link> m_links;
    std::deque<std::function<void()>> m_queue;
    bool m_delivering = false;
    bool m_stopping = false;
    std::thread m_thread;
};

/// Scripted agent: records the messages that it receives and sends those that the test requests. It reports
/// its load to each node that connects.
class test_agent {
public:
    test_agent(test_network& network, node_id node, std::vector<loaded_version> loaded)
        : m_network(network), m_node(std::move(node)), m_loaded(std::move(loaded)) {
        peer_events events;
        events.on_connected = [this](const hello_message& hello) { report_to(hello.node); };
        events.on_message = [this](const node_id& from, const peer_message& message) {
            const std::lock_guard lock(m_mutex);
            m_received.emplace_back(from, message);
            m_changed.notify_all();
        };
        m_network.add(m_node, node_role::agent, std::move(events));
    }

    const node_id& node() const { return m_node; }

    template <class Message>
    struct received {
        node_id from;
        Message message;
    };

    /// Removes and returns the oldest recorded message of this type. Waits for one up to `wait`, then returns
    /// `nullopt`.
    template <class Message>
    std::optional<received<Message>> take(milliseconds wait = milliseconds(3'000)) {
        std::unique_lock lock(m_mutex);
        std::optional<received<Message>> taken;
        m_changed.wait_until(lock, monotonic_now() + wait, [&] {
            for (auto it = m_received.begin(); it != m_received.end(); ++it) {
                if (const auto* message = std::get_if<Message>(&it->second)) {
                    taken = received<Message>{it->first, *message};
                    m_received.erase(it);
                    return true;
                }
            }
            return false;
        });
        return taken;
    }

    bool send(const node_id& to, peer_message message) {
        return m_network.send(m_node, to, std::move(message));
    }
    void report_to(const node_id& to) {
        load_report_message report;
        report.target = m_node;
        report.loaded = m_loaded;
        report.engine_up = true;
        report.slots = 8;
        send(to, report);
    }

private:
    test_network& m_network;
    node_id m_node;
    std::vector<loaded_version> m_loaded;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::pair<node_id, peer_message>> m_received;
};

} // namespace lovage::test
