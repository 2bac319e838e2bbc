#pragma once

#include "lovage/adapters/gossip_codec.h"
#include "lovage/control/control_state.h"
#include "lovage/core/store_revision.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

/// An in-memory key-value store with leases, in simulated time.
struct fake_store {
    struct item {
        store_value value;
        lease_id lease = 0;
    };
    std::map<std::string, item> items;
    /// Expiry and time to live of each lease.
    std::map<lease_id, std::pair<time_point, milliseconds>> leases;
    std::uint64_t revision = 0;
    lease_id next_lease = 1;
    std::uint64_t era = 0;
    bool is_down = false;
    /// Whether compare-and-swaps take effect but report `store_unavailable`, as if the reply were lost.
    bool loses_answers = false;

    /// Ends the leases that have expired and removes their keys.
    void expire(time_point now) {
        for (auto lease = leases.begin(); lease != leases.end();) {
            if (now < lease->second.first) {
                ++lease;
                continue;
            }
            for (auto position = items.begin(); position != items.end();) {
                position =
                    position->second.lease == lease->first ? items.erase(position) : std::next(position);
            }
            lease = leases.erase(lease);
        }
    }

    /// Writes a value unconditionally and returns its revision.
    std::uint64_t put(const std::string& key, const std::string& value, lease_id lease = 0) {
        items[key] = item{{value, ++revision}, lease};
        return revision;
    }

    /// Goes back to `copy`, as the adapter shows it: what the store still has carries the new era, and lost
    /// leases and revisions never match it.
    void restore(const fake_store& copy, time_point copied_at, time_point now) {
        const auto in_era = [this](std::uint64_t number) {
            return number == 0 ? 0 : make_revision(era, number_of(number));
        };
        ++era;
        items = copy.items;
        for (auto& [key, entry] : items) {
            entry.value.revision = in_era(entry.value.revision);
            entry.lease = in_era(entry.lease);
        }
        leases.clear();
        for (const auto& [id, lease] : copy.leases) {
            leases[in_era(id)] = {lease.first + (now - copied_at), lease.second};
        }
        revision = make_revision(era, number_of(copy.revision));
        next_lease = make_revision(era, number_of(copy.next_lease));
    }

    /// Executes a store call.
    store_reply run(const store_request& request, time_point now) {
        expire(now);
        store_reply reply;
        reply.era = era;
        if (is_down) {
            reply.era = 0;
            reply.failure = error{error_kind::store_unavailable, "down"};
            return reply;
        }
        const auto found = items.find(request.key);
        const std::uint64_t present = found == items.end() ? 0 : found->second.value.revision;
        const auto lease = leases.find(request.lease);
        switch (request.operation) {
        case store_operation::get:
            if (present > 0) {
                reply.value = found->second.value;
            }
            break;
        case store_operation::watch:
            if (present > request.revision) {
                reply.value = found->second.value;
            } else if (present == 0 && request.revision > 0) {
                reply.value = store_value{};
            }
            break;
        case store_operation::compare_and_swap:
            if (present != request.revision) {
                reply.failure = error{error_kind::revision_conflict, "conflict"};
            } else if (request.lease != 0 && lease == leases.end()) {
                reply.failure = error{error_kind::not_found, "lease"};
            } else {
                reply.number = put(request.key, request.value, request.lease);
            }
            break;
        case store_operation::grant_lease:
            reply.number = next_lease++;
            leases[reply.number] = {now + request.duration, request.duration};
            break;
        case store_operation::renew_lease:
            if (lease == leases.end()) {
                reply.failure = error{error_kind::not_found, "lease"};
            } else {
                lease->second.first = now + lease->second.second;
            }
            break;
        case store_operation::revoke_lease:
            if (lease != leases.end()) {
                lease->second.first = now;
                expire(now);
            }
            break;
        }
        if (loses_answers && request.operation == store_operation::compare_and_swap && !reply.failure) {
            reply = {};
            reply.failure = error{error_kind::store_unavailable, "answer lost"};
        }
        return reply;
    }
};

/// A simulated process.
struct exchange_node {
    control_state state;
    fleet_view_ptr view = std::make_shared<fleet_view>();
    /// While paused, the process takes no step and its events are queued in `backlog`.
    bool is_paused = false;
    std::vector<control_event> backlog;
    std::vector<std::pair<node_id, order_message>> orders;
    /// Configuration revisions in the order of their adoption.
    std::vector<config_revision> revisions;
};

/// Simulates a fleet: runs the control states of several processes in simulated time, with the network and
/// the store between them. A node's id is also its address.
class control_exchange {
public:
    explicit control_exchange(std::uint64_t seed) : m_random(seed) {}

    fake_store store;
    std::map<node_id, exchange_node> nodes;
    /// Whether a datagram or fetch from one node reaches another; replace it to simulate a partition.
    std::function<bool(const node_id& from, const node_id& to)> link = [](const auto&, const auto&) {
        return true;
    };
    /// Whether a node reaches the store.
    std::function<bool(const node_id&)> store_link = [](const auto&) { return true; };
    /// Whether each datagram arrives twice.
    bool duplicates = false;
    /// Largest random delay of a datagram on top of the base latency of 1 ms.
    milliseconds jitter{0};
    /// Encoded sizes of all datagrams sent.
    std::size_t largest_datagram = 0;
    std::size_t bytes_sent = 0;
    time_point now{std::chrono::hours{1}};
    std::int64_t wall_offset_ms = 1'700'000'000'000;
    /// Codecs of nodes that are added later.
    control_codecs codecs = make_codecs();

    /// Codecs that accept every configuration document except "invalid". A document may end with "@" and the
    /// store's era in which it was written.
    static control_codecs make_codecs() {
        control_codecs made;
        made.parse_config = [](const std::string& document) -> result<fleet_config> {
            if (document == "invalid") {
                return fail(error_kind::invalid_configuration, "invalid");
            }
            return fleet_config{};
        };
        made.config_era = [](const std::string& document) -> std::uint64_t {
            const auto at = document.find('@');
            return at == std::string::npos ? 0 : std::stoull(document.substr(at + 1));
        };
        made.restate_config = [](const std::string& document, std::uint64_t era) -> result<std::string> {
            return document.substr(0, document.find('@')) + "@" + std::to_string(era);
        };
        return made;
    }

    wall_time wall() const {
        const auto since = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
        return wall_time(milliseconds(wall_offset_ms) + since);
    }

    /// Starts a node; replaces a node of the same name, which simulates a restart.
    exchange_node& add(const node_id& name, const std::string& zone, std::vector<std::string> seeds,
                       node_role role = node_role::entry, incarnation process_incarnation = 1) {
        control_options options;
        options.self.node = name;
        options.self.incarnation = process_incarnation;
        options.self.role = role;
        options.self.zone = zone;
        options.self.region = zone.substr(0, 2);
        options.self.peer_address = name;
        options.self.http_address = name;
        options.self.gossip_address = name;
        options.seeds = std::move(seeds);
        options.may_lead = role == node_role::entry;
        options.random_seed = m_random();
        nodes.erase(name);
        exchange_node& node = nodes[name];
        node.state = make_control_state(std::move(options), codecs, now);
        return node;
    }

    /// Delivers an event to a node after `delay`.
    void post(const node_id& to, control_event event, milliseconds delay = milliseconds{0}) {
        m_deliveries.emplace(now + delay, delivery{to, std::move(event)});
    }

    /// Ends a pause and delivers the events that arrived during it.
    void resume(const node_id& name) {
        nodes.at(name).is_paused = false;
        for (auto& event : nodes.at(name).backlog) {
            post(name, std::move(event));
        }
        nodes.at(name).backlog.clear();
    }

    /// Advances the simulated time and executes all steps that become due.
    void run_for(milliseconds duration) {
        const time_point end = now + duration;
        while (true) {
            time_point next = m_deliveries.empty() ? end : m_deliveries.begin()->first;
            for (auto& [name, node] : nodes) {
                if (!node.is_paused) {
                    next = std::min(next, control_next(node.state, now, wall()));
                }
            }
            if (next >= end) {
                now = end;
                return;
            }
            // If a step leaves its own due time in the past, the control thread would spin.
            m_steps_at_now = next > now ? 0 : m_steps_at_now + 1;
            require(m_steps_at_now < k_max_steps_at_once, "a step is due again and again at the same time");
            now = std::max(now, next);
            deliver();
            for (auto& [name, node] : nodes) {
                if (!node.is_paused && control_next(node.state, now, wall()) <= now) {
                    step(name, node, nullptr);
                }
            }
        }
    }

    /// The state of `subject` in the view of `observer`; `left` if it is not listed.
    member_state state_at(const node_id& observer, const node_id& subject) const {
        for (const auto& member : nodes.at(observer).view->members) {
            if (member.node == subject) {
                return member.state;
            }
        }
        return member_state::left;
    }

    /// All nodes that currently act as leader.
    std::vector<node_id> leaders() const {
        std::vector<node_id> found;
        for (const auto& [name, node] : nodes) {
            if (is_leading(node.state.leadership, now)) {
                found.push_back(name);
            }
        }
        return found;
    }

private:
    static constexpr int k_max_steps_at_once = 1'000;

    // Like REQUIRE, but without the cost of recording millions of successful checks.
    static void require(bool condition, const char* failure) {
        if (!condition) {
            FAIL(failure);
        }
    }

    struct delivery {
        node_id to;
        control_event event;
    };

    void deliver() {
        while (!m_deliveries.empty() && m_deliveries.begin()->first <= now) {
            delivery item = std::move(m_deliveries.begin()->second);
            m_deliveries.erase(m_deliveries.begin());
            const auto target = nodes.find(item.to);
            if (target == nodes.end()) {
                continue;
            }
            if (target->second.is_paused) {
                target->second.backlog.push_back(std::move(item.event));
            } else {
                step(item.to, target->second, &item.event);
            }
        }
    }

    void step(const node_id& name, exchange_node& node, control_event* event) {
        control_output output;
        if (event != nullptr) {
            control_handle(node.state, std::move(*event), now, wall(), output);
        }
        control_tick(node.state, now, wall(), output);
        for (auto& datagram : output.datagrams) {
            send(name, datagram);
        }
        for (auto& request : output.io) {
            run_io(name, std::move(request));
        }
        std::move(output.orders.begin(), output.orders.end(), std::back_inserter(node.orders));
        if (output.view) {
            node.view = output.view;
        }
        const config_revision revision = node.state.propagation.revision;
        if (revision != (node.revisions.empty() ? 0 : node.revisions.back())) {
            node.revisions.push_back(revision);
        }
    }

    void send(const node_id& from, const outgoing_datagram& datagram) {
        const auto bytes = encode_gossip(datagram.message);
        largest_datagram = std::max(largest_datagram, bytes.size());
        bytes_sent += bytes.size();
        // If the size bound were too low, the core would fill datagrams beyond the size limit.
        require(bytes.size() <= encoded_size_bound(datagram.message),
                "a datagram is larger than its computed bound");
        auto decoded = decode_gossip({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
        require(decoded.has_value(), "a datagram does not decode");
        if (!link(from, datagram.address)) {
            return;
        }
        std::uniform_int_distribution<std::int64_t> extra_delay(0, jitter.count());
        for (int copy = 0; copy < (duplicates ? 2 : 1); ++copy) {
            post(datagram.address, datagram_event{*decoded, from}, milliseconds{1 + extra_delay(m_random)});
        }
    }

    void run_io(const node_id& name, io_request request) {
        io_event event;
        event.request = request;
        milliseconds delay{2};
        if (lane_of(request.purpose) == io_lane::fetch) {
            const auto peer = nodes.find(request.http_address);
            const bool answers = peer != nodes.end() && !peer->second.is_paused && peer->second.state.copy &&
                                 link(name, request.http_address) && link(request.http_address, name);
            if (answers) {
                event.copy = *peer->second.state.copy;
            } else {
                event.store.failure = error{error_kind::peer_unreachable, "no answer"};
                delay = milliseconds{500};
            }
        } else {
            if (store_link(name)) {
                event.store = store.run(request.store, now);
            } else {
                event.store.failure = error{error_kind::store_unavailable, "no connection"};
            }
            if (request.store.operation == store_operation::watch && !event.store.value) {
                // The simulated watch notices changes only at the end of its wait, which is therefore as
                // short as 200 ms.
                delay = event.store.failure ? milliseconds{2} : milliseconds{200};
            }
        }
        post(name, std::move(event), delay);
    }

    std::multimap<time_point, delivery> m_deliveries;
    std::mt19937_64 m_random;
    int m_steps_at_now = 0;
};

} // namespace lovage
