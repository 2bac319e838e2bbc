#include "lovage/traffic/gateway_traffic.h"

#include "lovage/core/report_plan.h"
#include "lovage/traffic/proxied_request.h"

#include <algorithm>
#include <vector>

namespace lovage {

namespace {

// Number of targets of a zone that must fail within the window below before the whole zone is suspect.
constexpr std::size_t k_failing_zone_targets = 3;
constexpr milliseconds k_zone_failure_window{1'500};

std::vector<target_candidate> candidates_on_side(gateway_traffic& traffic, const std::string& service,
                                                 version_side side) {
    std::vector<target_candidate> candidates;
    if (!traffic.view->targets) {
        return candidates;
    }
    const auto found = traffic.view->targets->find(service);
    if (found == traffic.view->targets->end()) {
        return candidates;
    }
    const auto* split = find_split(traffic, service);
    for (const auto& target : found->second) {
        const bool is_on_side =
            split == nullptr || is_eligible_for_side(*split, side, target.id, target.version);
        if (target.phase == target_phase::ready && is_on_side && accepts_requests(traffic, target)) {
            candidates.push_back({&target, traffic.usage[target.id]});
            auto& usage = candidates.back().usage;
            const auto from_peers = sum_peer_usage(traffic, target.id);
            usage.peer_requests = std::max(usage.peer_requests, from_peers.in_flight);
            usage.reported_at = from_peers.in_flight > 0 ? traffic.timers.now() : usage.reported_at;
            usage.awaiting_first_event_count += from_peers.awaiting_first_event_count;
            usage.copies += from_peers.copies;
            usage.memory_tokens += from_peers.memory_tokens;
        }
    }
    return candidates;
}

void fail_over_stalled_requests(gateway_traffic& traffic, const std::string& target_id, bool is_certain) {
    // `on_target_lost` may modify the set of requests, so the affected ones are collected first.
    std::vector<std::shared_ptr<proxied_request>> affected;
    for (auto* request : traffic.requests) {
        if (request->is_stalled_at(target_id, is_certain)) {
            affected.push_back(request->shared_from_this());
        }
    }
    for (const auto& request : affected) {
        request->on_target_lost(target_id, is_certain);
    }
}

} // namespace

void record_notices(gateway_traffic& traffic, const std::string& target_id, std::uint64_t started_ms,
                    const answer_head& head) {
    const auto now = traffic.timers.now();
    if (head.is_leaving) {
        auto& notice = traffic.notices[target_id];
        const bool is_new = !notice.is_leaving || notice.started_ms != started_ms;
        record_leaving(notice, started_ms, now);
        if (is_new) {
            traffic.sink.log(log_level::info, "target_leaving",
                             {{"target", target_id},
                              {"started_ms", std::to_string(started_ms)},
                              {"view", std::to_string(traffic.view->sequence)}});
        }
    }
    if (head.pause) {
        record_pause(traffic.notices[target_id], *head.pause, now);
        traffic.sink.count("gateway_target_pauses", "refused");
    }
}

bool accepts_requests(const gateway_traffic& traffic, const target_record& target) {
    const auto notice = traffic.notices.find(target.id);
    return notice == traffic.notices.end() || accepts_requests(notice->second, target, traffic.timers.now());
}

std::optional<time_point> end_of_pause(const gateway_traffic& traffic, const std::string& service) {
    if (!traffic.view->targets || traffic.view->targets->count(service) == 0) {
        return std::nullopt;
    }
    std::vector<time_point> ends;
    for (const auto& target : traffic.view->targets->at(service)) {
        const auto found = traffic.notices.find(target.id);
        const auto notice = found != traffic.notices.end() ? found->second : target_notice{};
        if (target.phase == target_phase::ready && !is_leaving(notice, target)) {
            ends.push_back(notice.paused_until);
        }
    }
    return earliest_end(ends, traffic.timers.now());
}

void record_and_report_failure(gateway_traffic& traffic, const std::string& service, const std::string& zone,
                               const std::string& target_id, target_failure_kind kind) {
    const auto now = traffic.timers.now();
    record_target_failure(traffic.usage[target_id], kind, now);
    if (kind != target_failure_kind::replaced) {
        traffic.zones[{service, zone}].failed[target_id] = now;
    }
    add_failure_to_reports(traffic, {service, zone, target_id, kind, 0});
}

void apply_peer_failure(gateway_traffic& traffic, const peer_target_failure& failure) {
    const auto now = traffic.timers.now();
    record_target_failure(traffic.usage[failure.target_id], failure.failure_kind, now);
    if (failure.failure_kind != target_failure_kind::replaced) {
        traffic.zones[{failure.service, failure.zone}].failed[failure.target_id] = now;
    }
    if (failure.failure_kind == target_failure_kind::unreachable ||
        failure.failure_kind == target_failure_kind::silent) {
        report_lost_target(traffic, failure.target_id,
                           failure.failure_kind == target_failure_kind::unreachable);
    }
}

shutdown_phase current_shutdown_phase(const gateway_traffic& traffic) {
    if (!traffic.shutdown_requested_at) {
        return shutdown_phase::serving;
    }
    return plan_shutdown({traffic.timers.now() - *traffic.shutdown_requested_at, traffic.options.grace,
                          traffic.requests.size()});
}

milliseconds shutdown_retry_after(const gateway_traffic& traffic) {
    // Time that a restarted process needs until it serves requests.
    constexpr milliseconds k_restart_time{1'200};
    // Retry delay if another process is serving requests.
    constexpr milliseconds k_retry_delay_with_peers{100};
    if (count_serving_peers(traffic) > 0) {
        return k_retry_delay_with_peers;
    }
    const auto waited = traffic.timers.now() - *traffic.shutdown_requested_at;
    return std::chrono::duration_cast<milliseconds>(traffic.options.grace - waited) + k_restart_time;
}

retry_window_limits retry_share(const gateway_traffic& traffic) {
    auto share = traffic.options.retries;
    share.fixed /= static_cast<double>(retry_budget_sharers(count_known_peers(traffic)));
    return share;
}

std::vector<std::string> failing_zones(gateway_traffic& traffic, const std::string& service) {
    const auto now = traffic.timers.now();
    std::vector<std::string> failing;
    for (auto entry = traffic.zones.begin(); entry != traffic.zones.end();) {
        auto& failed = entry->second.failed;
        for (auto each = failed.begin(); each != failed.end();) {
            each = now - each->second > k_zone_failure_window ? failed.erase(each) : std::next(each);
        }
        if (entry->first.first == service && failed.size() >= k_failing_zone_targets) {
            failing.push_back(entry->first.second);
        }
        entry = failed.empty() ? traffic.zones.erase(entry) : std::next(entry);
    }
    return failing;
}

void refresh_view(gateway_traffic& traffic) {
    if (traffic.newest_view) {
        apply_view(traffic, traffic.newest_view());
    }
}

void apply_view(gateway_traffic& traffic, gateway_view_ptr view) {
    if (view == traffic.view || view->sequence < traffic.view->sequence) {
        return;
    }
    const auto before = std::exchange(traffic.view, std::move(view));
    if (before->newest_change != traffic.view->newest_change) {
        schedule_report(traffic);
    }
    if (before->targets == traffic.view->targets || !before->targets) {
        return;
    }
    std::set<std::string> known;
    for (const auto& [service, list] : *traffic.view->targets) {
        for (const auto& target : list) {
            known.insert(target.id);
        }
    }
    const auto now = traffic.timers.now();
    for (auto entry = traffic.notices.begin(); entry != traffic.notices.end();) {
        const bool is_dropped = known.count(entry->first) == 0 && is_obsolete(entry->second, now);
        entry = is_dropped ? traffic.notices.erase(entry) : std::next(entry);
    }
    for (const auto& [service, list] : *before->targets) {
        for (const auto& target : list) {
            const auto used = traffic.usage.find(target.id);
            if (known.count(target.id) == 0) {
                traffic.targets.close_idle_connections(target.address);
                if (used != traffic.usage.end() && used->second.in_flight == 0 && used->second.copies == 0) {
                    traffic.usage.erase(used);
                }
            }
        }
    }
}

std::vector<target_candidate> candidates_of(gateway_traffic& traffic, const std::string& service,
                                            version_side side) {
    auto candidates = candidates_on_side(traffic, service, side);
    const auto* split = find_split(traffic, service);
    if (candidates.empty() && split != nullptr) {
        const auto other = side == version_side::usual ? version_side::moved : version_side::usual;
        if (other == version_side::usual || split->share >= 1.0) {
            candidates = candidates_on_side(traffic, service, other);
        }
    }
    return candidates;
}

const target_record* find_ready_target(const gateway_traffic& traffic, const std::string& service,
                                       const std::string& id) {
    if (!traffic.view->targets) {
        return nullptr;
    }
    const auto found = traffic.view->targets->find(service);
    if (found == traffic.view->targets->end()) {
        return nullptr;
    }
    const auto target = std::find_if(found->second.begin(), found->second.end(),
                                     [&id](const target_record& record) { return record.id == id; });
    const bool is_usable = target != found->second.end() && target->phase == target_phase::ready &&
                           accepts_requests(traffic, *target);
    return is_usable ? &*target : nullptr;
}

bool can_trust_keys(const gateway_traffic& traffic) {
    return are_api_keys_trusted(traffic.view->table_confirmed, traffic.boot_clock(),
                                traffic.options.max_key_staleness);
}

void report_lost_target(gateway_traffic& traffic, const std::string& target_id, bool is_certain) {
    // Bytes that arrived while the thread was held up are read before a timer expires, so that a request is
    // not judged by a silence that has ended.
    traffic.timers.after(milliseconds(0), [&traffic, target_id, is_certain] {
        fail_over_stalled_requests(traffic, target_id, is_certain);
    });
}

} // namespace lovage
