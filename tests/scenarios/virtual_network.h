#pragma once

#include "lovage/core/ids.h"
#include "lovage/core/time.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lovage::scenarios {

/// Simulated clock with a queue of actions. Actions run in order of their time; actions with the same time
/// run in the order in which they were scheduled.
struct virtual_clock {
    milliseconds now{0};
    std::multimap<milliseconds, std::function<void()>> due;

    /// Schedules an action; a time in the past counts as now.
    void at(milliseconds when, std::function<void()> action) {
        due.emplace(std::max(when, now), std::move(action));
    }
    void after(milliseconds delay, std::function<void()> action) { at(now + delay, std::move(action)); }

    /// Runs all actions due up to and including `end`, then sets the clock to `end`.
    void run_until(milliseconds end) {
        while (!due.empty() && due.begin()->first <= end) {
            now = due.begin()->first;
            const auto action = std::move(due.begin()->second);
            due.erase(due.begin());
            action();
        }
        now = end;
    }
};

/// One-way network partitions between nodes or zones: what the first of a pair sends never arrives at
/// the second.
struct partition_list {
    std::vector<std::pair<std::string, std::string>> partitions;

    void add(const std::string& from, const std::string& to) { partitions.emplace_back(from, to); }
    void remove(const std::string& from, const std::string& to) {
        const auto found = std::find(partitions.begin(), partitions.end(), std::pair(from, to));
        if (found != partitions.end()) {
            partitions.erase(found);
        }
    }
    bool blocks(const std::string& from, const std::string& from_zone, const std::string& to,
                const std::string& to_zone) const {
        return std::any_of(partitions.begin(), partitions.end(), [&](const auto& cut) {
            return (cut.first == from || cut.first == from_zone) &&
                   (cut.second == to || cut.second == to_zone);
        });
    }
};

struct network_node {
    std::string zone;
    bool is_up = true;
    /// Increases with each restart.
    incarnation current_incarnation = 1;
    milliseconds paused_until{0};
    /// Added to the latency of each message from and to the node.
    milliseconds extra_latency{0};
};

/// Simulated network. Messages between two nodes arrive in the order in which they were sent, as on a
/// connection. A message is lost if a partition separates the nodes when it is sent, or if
/// the receiver crashes before it arrives.
struct virtual_network {
    virtual_clock clock;
    std::mt19937_64 random;
    std::map<std::string, network_node> nodes;
    partition_list partitions;
    std::map<std::pair<std::string, std::string>, milliseconds> last_delivery;

    explicit virtual_network(std::uint64_t seed) : random(seed) {}

    /// Returns a random time in milliseconds; both bounds are included.
    milliseconds random_ms(int low, int high) {
        return milliseconds{std::uniform_int_distribution<int>(low, high)(random)};
    }

    bool is_running(const std::string& name) const {
        const auto& node = nodes.at(name);
        return node.is_up && node.paused_until <= clock.now;
    }

    bool is_blocked(const std::string& from, const std::string& to) const {
        return partitions.blocks(from, nodes.at(from).zone, to, nodes.at(to).zone);
    }

    /// Schedules `action` at the receiver after 1 to 3 ms (random) and the extra latency of both nodes.
    void send(const std::string& from, const std::string& to, std::function<void()> action) {
        if (!nodes.at(from).is_up || is_blocked(from, to)) {
            return;
        }
        const milliseconds latency = nodes.at(from).extra_latency + nodes.at(to).extra_latency;
        milliseconds& last = last_delivery[{from, to}];
        last = std::max(last, clock.now + random_ms(1, 3) + latency);
        schedule_at_node(to, nodes.at(to).current_incarnation, last, std::move(action));
    }

    /// Schedules `action` at the node after `delay`, or when its pause ends, unless the node crashes before.
    void timer(const std::string& name, milliseconds delay, std::function<void()> action) {
        schedule_at_node(name, nodes.at(name).current_incarnation, clock.now + delay, std::move(action));
    }

    /// Suspends the node; 0 for the rest of the run.
    void pause(const std::string& name, milliseconds duration) {
        nodes.at(name).paused_until =
            duration == milliseconds{0} ? milliseconds::max() : clock.now + duration;
    }

private:
    void schedule_at_node(const std::string& to, incarnation current_incarnation, milliseconds when,
                          std::function<void()> action) {
        clock.at(when, [this, to, current_incarnation, action = std::move(action)]() mutable {
            const network_node& node = nodes.at(to);
            if (!node.is_up || node.current_incarnation != current_incarnation) {
                return;
            }
            if (node.paused_until > clock.now) {
                if (node.paused_until != milliseconds::max()) {
                    schedule_at_node(to, current_incarnation, node.paused_until, std::move(action));
                }
                return;
            }
            action();
        });
    }
};

} // namespace lovage::scenarios
