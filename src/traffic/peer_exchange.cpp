#include "lovage/traffic/peer_exchange.h"

#include "lovage/core/report_plan.h"
#include "lovage/traffic/gateway_traffic.h"
#include "lovage/traffic/prompt_crashes.h"
#include "lovage/traffic/prompt_locations.h"
#include "lovage/traffic/request_losses.h"
#include "lovage/traffic/target_learning.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace lovage {

namespace {

// Changes within this time are combined into one report.
constexpr milliseconds k_report_batch_delay{25};
// Peers are remembered for this long after the last report, so that they are found again after a partition
// and their part of the retry budget stays theirs.
constexpr milliseconds k_peer_retention{60'000};
// Seeds get every report until this many peers are known; after that they are peers like the others.
constexpr std::size_t k_min_known_peers = 4;
// Limits on the items in a report, which must fit into one datagram.
constexpr std::size_t k_max_usage_items = 120;
constexpr std::size_t k_max_failures = 24;
constexpr std::size_t k_max_leaving_targets = 12;
constexpr std::size_t k_max_peers = 12;
// Addresses in the report that welcomes a process which knows few others yet.
constexpr std::size_t k_max_welcome_peers = 120;
constexpr std::size_t k_max_evidence_items = 40;
constexpr std::size_t k_max_vetoes = 8;
// Bound on the peers that are remembered, several times the largest fleet that is planned for.
constexpr std::size_t k_max_known_peers = 2'000;
// The summed load of the peers is at most this old, so that the load of a peer that died expires.
constexpr milliseconds k_max_load_age{100};

// Shortens a list that does not fit into the report, and counts what is left out.
template <class Items>
void limit_items(gateway_traffic& traffic, Items& items, std::size_t limit, const char* name) {
    if (items.size() > limit) {
        traffic.sink.count("gateway_report_lists_shortened", name);
        items.resize(limit);
    }
}

// Drops the events before `oldest` and returns the others.
template <class Event>
std::vector<Event> events_since(std::deque<std::pair<time_point, Event>>& events, time_point oldest) {
    while (!events.empty() && events.front().first < oldest) {
        events.pop_front();
    }
    std::vector<Event> recent;
    recent.reserve(events.size());
    for (const auto& [at, event] : events) {
        recent.push_back(event);
    }
    return recent;
}

std::vector<peer_usage> usage_items(gateway_traffic& traffic) {
    std::vector<peer_usage> items;
    for (const auto& [id, usage] : traffic.usage) {
        if (usage.in_flight > 0 || usage.copies > 0) {
            items.push_back(
                {id, usage.in_flight, usage.awaiting_first_event_count, usage.copies, usage.memory_tokens});
        }
    }
    if (items.size() > k_max_usage_items) {
        // The next report begins with the targets that this one leaves out.
        auto& first = traffic.peers.next_usage;
        first %= items.size();
        std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(first), items.end());
        first += k_max_usage_items;
    }
    limit_items(traffic, items, k_max_usage_items, "usage");
    return items;
}

// Returns a random sample of the peers' addresses, so that every process learns of all others.
std::vector<std::string> sample_addresses(gateway_traffic& traffic, std::size_t limit) {
    const auto& peers = traffic.peers.peers;
    std::vector<const std::string*> sample;
    std::vector<const std::string*> all;
    all.reserve(peers.size());
    for (const auto& [address, peer] : peers) {
        all.push_back(&address);
    }
    std::sample(all.begin(), all.end(), std::back_inserter(sample), limit, traffic.random);
    std::vector<std::string> addresses;
    addresses.reserve(sample.size());
    for (const auto* address : sample) {
        addresses.push_back(*address);
    }
    return addresses;
}

peer_report make_report(gateway_traffic& traffic, std::size_t address_limit) {
    auto& exchange = traffic.peers;
    peer_report report;
    report.node = exchange.node;
    report.address = exchange.address;
    report.started_ms = exchange.started_ms;
    report.sequence = ++exchange.sequence;
    report.is_leaving = traffic.shutdown_requested_at.has_value();
    report.newest_change = traffic.view->newest_change;
    report.config_version = traffic.view->table ? traffic.view->table->version : 0;
    report.usage = usage_items(traffic);
    const auto now = traffic.timers.now();
    const auto oldest = now - event_repeat_period(exchange.peers.size());
    report.target_failures = events_since(exchange.target_failures, oldest);
    report.leaving_targets = events_since(exchange.leaving_targets, oldest);
    if (is_evaluating_version(traffic)) {
        report.evidence = traffic.versions.evidence.report().items;
        limit_items(traffic, report.evidence, k_max_evidence_items, "evidence");
    }
    for (const auto& [service, split] : traffic.view->splits) {
        if (split.is_vetoed) {
            report.vetoes.push_back(split.move);
        }
    }
    limit_items(traffic, report.vetoes, k_max_vetoes, "vetoes");
    add_prompt_crashes(traffic, report);
    add_request_losses(traffic, report);
    add_prompt_locations(traffic, report);
    add_performance(traffic, report);
    report.peers = sample_addresses(traffic, address_limit);
    return report;
}

std::vector<std::string> next_receivers(peer_exchange& exchange) {
    std::vector<std::string> new_peers;
    std::vector<std::string> others;
    for (const auto& [address, peer] : exchange.peers) {
        (peer.has_been_sent_report ? others : new_peers).push_back(address);
    }
    if (exchange.peers.size() < k_min_known_peers) {
        for (const auto& seed : exchange.seeds) {
            if (seed != exchange.address && exchange.peers.count(seed) == 0) {
                others.push_back(seed);
            }
        }
    }
    return choose_receivers(std::move(new_peers), others, exchange.next_receiver);
}

void forget_old_peers(peer_exchange& exchange, time_point now) {
    for (auto peer = exchange.peers.begin(); peer != exchange.peers.end();) {
        const bool is_old = now - peer->second.received > k_peer_retention;
        peer = is_old ? exchange.peers.erase(peer) : std::next(peer);
    }
}

// A version that only forgotten peers had in force no longer counts.
void update_newest_config(peer_exchange& exchange) {
    std::uint64_t newest = 0;
    for (const auto& [address, peer] : exchange.peers) {
        newest = std::max(newest, peer.report.config_version);
    }
    exchange.newest_config.version = std::min(exchange.newest_config.version, newest);
}

void send_report(gateway_traffic& traffic) {
    auto& exchange = traffic.peers;
    exchange.is_report_scheduled = false;
    forget_old_peers(exchange, traffic.timers.now());
    update_newest_config(exchange);
    const auto report = make_report(traffic, k_max_peers);
    for (const auto& address : next_receivers(exchange)) {
        exchange.port.send(address, report);
        if (const auto peer = exchange.peers.find(address); peer != exchange.peers.end()) {
            peer->second.has_been_sent_report = true;
        }
    }
}

bool is_live(const peer_exchange& exchange, const known_peer& peer, time_point now) {
    return !peer.report.node.empty() && now - peer.received <= peer_timeout(exchange.peers.size());
}

void add_addresses(peer_exchange& exchange, const std::vector<std::string>& addresses, time_point now) {
    for (const auto& address : addresses) {
        if (address != exchange.address && exchange.peers.size() < k_max_known_peers) {
            const auto [found, is_new] = exchange.peers.try_emplace(address);
            if (is_new) {
                found->second.received = now;
            }
        }
    }
}

void sum_load(peer_exchange& exchange, time_point now) {
    exchange.load.clear();
    exchange.load_summed = now;
    exchange.is_load_outdated = false;
    for (const auto& [address, peer] : exchange.peers) {
        if (!is_live(exchange, peer, now)) {
            continue;
        }
        for (const auto& usage : peer.report.usage) {
            auto& sum = exchange.load[usage.target_id];
            sum.in_flight += usage.in_flight;
            sum.awaiting_first_event_count += usage.awaiting_first_event_count;
            sum.copies += usage.copies;
            sum.memory_tokens += usage.memory_tokens;
        }
    }
}

} // namespace

void start_peer_exchange(gateway_traffic& traffic) {
    send_report(traffic);
    if (traffic.peers.on_live_peers) {
        traffic.peers.on_live_peers(count_live_peers(traffic));
    }
    forget_locations(traffic.prompt_locations, traffic.timers.now());
    traffic.timers.after(next_report_delay(traffic), [&traffic] { start_peer_exchange(traffic); });
}

void schedule_report(gateway_traffic& traffic) {
    if (!traffic.peers.port.send || std::exchange(traffic.peers.is_report_scheduled, true)) {
        return;
    }
    traffic.timers.after(k_report_batch_delay, [&traffic] {
        if (traffic.peers.is_report_scheduled) {
            send_report(traffic);
        }
    });
}

void add_failure_to_reports(gateway_traffic& traffic, peer_target_failure failure) {
    auto& exchange = traffic.peers;
    failure.number = ++exchange.last_assigned_failure_number;
    exchange.target_failures.emplace_back(traffic.timers.now(), std::move(failure));
    if (exchange.target_failures.size() > k_max_failures) {
        exchange.target_failures.pop_front();
    }
    schedule_report(traffic);
}

void add_leaving_to_reports(gateway_traffic& traffic, peer_leaving_target leaving) {
    auto& leaving_targets = traffic.peers.leaving_targets;
    leaving_targets.emplace_back(traffic.timers.now(), std::move(leaving));
    if (leaving_targets.size() > k_max_leaving_targets) {
        traffic.sink.count("gateway_report_lists_shortened", "leaving_targets");
        leaving_targets.pop_front();
    }
    schedule_report(traffic);
}

void apply_peer_report(gateway_traffic& traffic, peer_report report) {
    auto& exchange = traffic.peers;
    if (report.node == exchange.node || report.node.empty() || report.address == exchange.address) {
        return;
    }
    const auto now = traffic.timers.now();
    const bool has_room = exchange.peers.size() < k_max_known_peers;
    if (!has_room && exchange.peers.count(report.address) == 0) {
        traffic.sink.count("gateway_peers_ignored", "limit");
        return;
    }
    auto& peer = exchange.peers[report.address];
    const bool was_live = is_live(exchange, peer, now);
    if (was_live && report.node == peer.report.node && report.started_ms < peer.report.started_ms) {
        // Sent before the peer restarted. A peer whose clock was set back before it restarted is heard again
        // once its earlier reports have expired.
        traffic.sink.count("gateway_peers_ignored", "earlier_start");
        return;
    }
    const bool has_started = report.started_ms != peer.report.started_ms || report.node != peer.report.node;
    if (has_started) {
        peer.last_applied_failure_number = 0;
    } else if (report.sequence <= peer.report.sequence) {
        return;
    }
    if (!was_live) {
        traffic.sink.log(log_level::info, "peer_known", {{"peer", report.node}, {"address", report.address}});
    }
    peer.received = now;
    std::vector<peer_target_failure> new_failures;
    for (const auto& failure : report.target_failures) {
        if (failure.number > peer.last_applied_failure_number) {
            peer.last_applied_failure_number = failure.number;
            new_failures.push_back(failure);
        }
    }
    if (report.newest_change > traffic.view->newest_change && exchange.on_newer_change) {
        exchange.on_newer_change(report.newest_change);
    }
    if (report.config_version > exchange.newest_config.version) {
        exchange.newest_config = {report.config_version, traffic.boot_clock()};
    }
    peer.report = std::move(report);
    exchange.is_load_outdated = true;
    for (const auto& [service, admission] : traffic.admission) {
        schedule_dispatch(traffic, service);
    }
    add_addresses(exchange, peer.report.peers, now);
    // A process that has just started knows nothing of what its peers know, though they heard of it lately.
    if ((!was_live || has_started) && exchange.port.send && peer.report.peers.size() < k_max_peers) {
        exchange.port.send(peer.report.address, make_report(traffic, k_max_welcome_peers));
    }
    apply_prompt_crashes(traffic, peer.report);
    apply_request_losses(traffic, peer.report);
    apply_prompt_locations(traffic, peer.report);
    apply_performance(traffic, peer.report);
    for (const auto& leaving : peer.report.leaving_targets) {
        apply_peer_leaving(traffic, leaving, peer.report.node);
    }
    for (const auto& failure : new_failures) {
        apply_peer_failure(traffic, failure);
    }
}

peer_usage sum_peer_usage(gateway_traffic& traffic, const std::string& target_id) {
    auto& exchange = traffic.peers;
    const auto now = traffic.timers.now();
    if (exchange.is_load_outdated || now - exchange.load_summed > k_max_load_age) {
        sum_load(exchange, now);
    }
    const auto found = exchange.load.find(target_id);
    return found != exchange.load.end() ? found->second : peer_usage{};
}

std::vector<const peer_report*> live_reports(const gateway_traffic& traffic) {
    const auto now = traffic.timers.now();
    std::vector<const peer_report*> reports;
    for (const auto& [address, peer] : traffic.peers.peers) {
        if (is_live(traffic.peers, peer, now)) {
            reports.push_back(&peer.report);
        }
    }
    return reports;
}

std::size_t count_live_peers(const gateway_traffic& traffic) {
    return live_reports(traffic).size();
}

std::size_t count_known_peers(const gateway_traffic& traffic) {
    const auto& peers = traffic.peers.peers;
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [](const auto& entry) {
        const auto& report = entry.second.report;
        return !report.node.empty() && !report.is_leaving;
    }));
}

std::size_t count_serving_peers(const gateway_traffic& traffic) {
    const auto reports = live_reports(traffic);
    return static_cast<std::size_t>(std::count_if(
        reports.begin(), reports.end(), [](const peer_report* report) { return !report->is_leaving; }));
}

} // namespace lovage
