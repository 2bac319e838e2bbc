#include "lovage/traffic/gateway_traffic.h"

#include "lovage/core/report_plan.h"
#include "lovage/traffic/proxied_request.h"
#include "lovage/traffic/target_learning.h"

#include <algorithm>
#include <vector>

namespace lovage {

namespace {

// Number of targets of a zone that must fail within the window below before the whole zone is suspect.
constexpr std::size_t k_failing_zone_targets = 3;
constexpr milliseconds k_zone_failure_window{1'500};
// For this long after its start a process serves by no older configuration than its peers.
constexpr milliseconds k_start_period{5'000};

const target_record* find_in(const target_list& list, const std::string& id) {
    const auto target = std::find_if(list.begin(), list.end(),
                                     [&id](const target_record& record) { return record.id == id; });
    return target != list.end() ? &*target : nullptr;
}

// Looks through all services, so it is meant for rare events.
const target_record* find_target(const gateway_traffic& traffic, const std::string& id) {
    const target_record* target = nullptr;
    if (traffic.view->targets) {
        for (const auto& [service, list] : *traffic.view->targets) {
            target = target != nullptr ? target : find_in(list, id);
        }
    }
    return target;
}

bool is_on_side(const version_split* split, version_side side, const target_record& target) {
    return split == nullptr || is_eligible_for_side(*split, side, target.id, target.version);
}

// Returns the side that serves the requests of `side` if the targets of that one accept none.
std::optional<version_side> substitute_side(const version_split* split, version_side side) {
    if (split == nullptr) {
        return std::nullopt;
    }
    const auto other = side == version_side::usual ? version_side::moved : version_side::usual;
    const bool may_substitute = other == version_side::usual || split->share >= 1.0;
    return may_substitute ? std::optional<version_side>(other) : std::nullopt;
}

bool accepts_new_work(const gateway_traffic& traffic, const target_record& target) {
    return availability_of(traffic, target, work_kind::new_work).state == acceptance::accepting;
}

std::vector<target_candidate> candidates_on_side(gateway_traffic& traffic, const std::string& service,
                                                 version_side side) {
    std::vector<target_candidate> candidates;
    const auto* split = find_split(traffic, service);
    for (const auto& target : targets_of(traffic, service)) {
        if (is_on_side(split, side, target) && accepts_new_work(traffic, target)) {
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
    add_learned(traffic, service, candidates);
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

// Returns a copy, since the end of a request changes the set.
std::vector<std::shared_ptr<proxied_request>> requests_in_progress(const gateway_traffic& traffic) {
    std::vector<std::shared_ptr<proxied_request>> requests;
    for (auto* request : traffic.requests) {
        requests.push_back(request->shared_from_this());
    }
    return requests;
}

void log_notice(const gateway_traffic& traffic, std::string_view event, const std::string& target_id,
                const target_notice& notice, std::vector<log_field> fields) {
    fields.insert(fields.begin(), {{"target", target_id}, {"started_ms", std::to_string(notice.started_ms)}});
    fields.push_back({"view", std::to_string(traffic.view->sequence)});
    traffic.sink.log(log_level::info, event, fields);
}

std::string left_ms(const target_notice& notice, time_point now) {
    return std::to_string(std::chrono::ceil<milliseconds>(notice.paused_until - now).count());
}

// Returns whether this process did not know it. `reported_by` is the peer that knew, empty for none.
bool note_leaving(gateway_traffic& traffic, const std::string& target_id, std::uint64_t started_ms,
                  const std::string& reported_by) {
    auto& notice = traffic.notices[target_id];
    const bool is_new = !notice.is_leaving || has_started_anew(notice.started_ms, started_ms);
    record_leaving(notice, started_ms, traffic.timers.now());
    if (is_new) {
        log_notice(traffic, "target_leaving", target_id, notice, {{"reported_by", reported_by}});
    }
    return is_new;
}

void note_pause(gateway_traffic& traffic, const std::string& target_id, std::uint64_t started_ms,
                milliseconds pause) {
    const auto now = traffic.timers.now();
    auto& notice = traffic.notices[target_id];
    const double position = std::uniform_real_distribution<double>(0.0, 1.0)(traffic.random);
    record_pause(notice, started_ms, pause, position, now);
    traffic.sink.count("gateway_target_notices", "paused");
    if (!std::exchange(notice.is_pause_logged, true)) {
        log_notice(traffic, "target_paused", target_id, notice,
                   {{"asked_ms", std::to_string(pause.count())}, {"left_ms", left_ms(notice, now)}});
    }
}

void note_invalid(gateway_traffic& traffic, const std::string& target_id, std::uint64_t started_ms,
                  const std::string& statement) {
    auto& notice = traffic.notices[target_id];
    record_invalid(notice, started_ms, traffic.timers.now());
    traffic.sink.count("gateway_target_notices", "invalid_" + statement);
    if (!std::exchange(notice.is_invalid_logged, true)) {
        log_notice(traffic, "target_notice_invalid", target_id, notice, {{"field", statement}});
    }
}

void restore_record(gateway_traffic& traffic, const quarantine_record& record) {
    const auto now = traffic.timers.now();
    if (record.request != 0) {
        restore_quarantined_request(traffic.lost_requests, record.request, now);
    } else {
        restore_quarantine(traffic.quarantine, record, now);
    }
}

} // namespace

const target_list& targets_of(const gateway_traffic& traffic, const std::string& service) {
    static const target_list k_none;
    if (!traffic.view->targets) {
        return k_none;
    }
    const auto found = traffic.view->targets->find(service);
    return found != traffic.view->targets->end() ? found->second : k_none;
}

void record_notices(gateway_traffic& traffic, const std::string& target_id, std::uint64_t started_ms,
                    const answer_head& head) {
    const bool has_invalid = head.has_invalid_leaving || head.has_invalid_pause;
    if (!head.is_leaving && !head.pause && !has_invalid) {
        return;
    }
    const auto* target = find_target(traffic, target_id);
    if (target != nullptr && has_started_anew(started_ms, target->started_ms)) {
        traffic.sink.count("gateway_target_notices", "earlier_start");
        return;
    }
    if (head.is_leaving) {
        traffic.sink.count("gateway_target_notices", "leaving");
        if (note_leaving(traffic, target_id, started_ms, "") && started_ms != 0) {
            add_leaving_to_reports(traffic, {target_id, started_ms});
        }
        if (target != nullptr) {
            close_connections_if_leaving(traffic, *target);
        }
    }
    if (head.pause) {
        note_pause(traffic, target_id, started_ms, *head.pause);
    }
    if (has_invalid) {
        note_invalid(traffic, target_id, started_ms, head.has_invalid_pause ? "pause" : "leaving");
    }
}

void log_end_of_pause(gateway_traffic& traffic, const target_record& target) {
    const auto found = traffic.notices.find(target.id);
    if (found != traffic.notices.end() && traffic.timers.now() >= found->second.paused_until &&
        std::exchange(found->second.is_pause_logged, false)) {
        log_notice(traffic, "target_resumed", target.id, found->second, {});
    }
}

std::vector<target_status> withheld_targets(const gateway_traffic& traffic) {
    std::vector<target_status> withheld;
    if (!traffic.view->targets) {
        return withheld;
    }
    const auto now = traffic.timers.now();
    for (const auto& [service, list] : *traffic.view->targets) {
        for (const auto& target : list) {
            const auto found = availability_of(traffic, target, work_kind::new_work);
            if (found.state != acceptance::accepting) {
                const auto left = found.state == acceptance::paused ? found.until - now : milliseconds(0);
                withheld.push_back({target, found.state, std::chrono::ceil<milliseconds>(left)});
            }
        }
    }
    return withheld;
}

target_availability availability_of(const gateway_traffic& traffic, const target_record& target,
                                    work_kind work) {
    const auto found = traffic.notices.find(target.id);
    return availability_of(found != traffic.notices.end() ? found->second : target_notice{}, target, work,
                           traffic.timers.now());
}

void close_connections_if_leaving(gateway_traffic& traffic, const target_record& target) {
    if (availability_of(traffic, target, work_kind::new_work).state == acceptance::leaving) {
        traffic.targets.close_idle_connections(target.address);
    }
}

std::optional<time_point> end_of_pause(const gateway_traffic& traffic, const std::string& service,
                                       version_side side) {
    const auto* split = find_split(traffic, service);
    const auto substitute = substitute_side(split, side);
    std::vector<target_availability> found;
    for (const auto& target : targets_of(traffic, service)) {
        if (is_on_side(split, side, target) || (substitute && is_on_side(split, *substitute, target))) {
            found.push_back(availability_of(traffic, target, work_kind::new_work));
        }
    }
    return earliest_end(found);
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

void apply_peer_leaving(gateway_traffic& traffic, const peer_leaving_target& leaving,
                        const std::string& reported_by) {
    const auto known = traffic.notices.find(leaving.target_id);
    if (known != traffic.notices.end() && known->second.is_leaving &&
        known->second.started_ms == leaving.started_ms) {
        return;
    }
    const auto* target = find_target(traffic, leaving.target_id);
    if (target == nullptr || leaving.started_ms == 0 || target->started_ms != leaving.started_ms) {
        traffic.sink.count("gateway_target_notices", "outdated_hint");
        return;
    }
    note_leaving(traffic, leaving.target_id, leaving.started_ms, reported_by);
    traffic.sink.count("gateway_target_notices", "leaving_hint");
    close_connections_if_leaving(traffic, *target);
}

shutdown_phase current_shutdown_phase(const gateway_traffic& traffic) {
    if (!traffic.shutdown_requested_at) {
        return shutdown_phase::serving;
    }
    return plan_shutdown({traffic.timers.now() - *traffic.shutdown_requested_at, traffic.options.grace,
                          traffic.requests.size()});
}

void refuse_late_starts(gateway_traffic& traffic) {
    for (const auto& request : requests_in_progress(traffic)) {
        request->on_stop_progress();
    }
}

void end_requests(gateway_traffic& traffic) {
    for (const auto& request : requests_in_progress(traffic)) {
        request->on_process_end();
    }
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
    for (const auto& [key, record] : traffic.view->quarantines) {
        if (before->quarantines.count(key) == 0) {
            restore_record(traffic, record);
        }
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
    for (const auto& [service, admission] : traffic.admission) {
        schedule_dispatch(traffic, service);
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
    const auto substitute = substitute_side(find_split(traffic, service), side);
    if (candidates.empty() && substitute) {
        candidates = candidates_on_side(traffic, service, *substitute);
    }
    return candidates;
}

const target_record* find_ready_target(const gateway_traffic& traffic, const std::string& service,
                                       const std::string& id) {
    const auto* target = find_in(targets_of(traffic, service), id);
    return target != nullptr && accepts_new_work(traffic, *target) ? target : nullptr;
}

bool is_known_target(const gateway_traffic& traffic, const std::string& service, const std::string& id) {
    return find_in(targets_of(traffic, service), id) != nullptr;
}

bool may_keep_copy(const gateway_traffic& traffic, const std::string& service, const std::string& id) {
    const auto* target = find_in(targets_of(traffic, service), id);
    return target != nullptr &&
           availability_of(traffic, *target, work_kind::new_work).state != acceptance::leaving;
}

bool can_trust_keys(const gateway_traffic& traffic) {
    return are_api_keys_trusted(traffic.view->table_confirmed, traffic.boot_clock(),
                                traffic.options.max_key_staleness);
}

bool is_configuration_behind(const gateway_traffic& traffic) {
    const auto& view = *traffic.view;
    const auto& newest = traffic.peers.newest_config;
    if (newest.version <= (view.table ? view.table->version : 0)) {
        return false;
    }
    // A read that began after a peer had the newer version in force would have returned it from a store that
    // has lost nothing. A process that has just started waits for such a read.
    return view.table_confirmed > newest.heard || traffic.boot_clock() - traffic.started < k_start_period;
}

void report_lost_target(gateway_traffic& traffic, const std::string& target_id, bool is_certain) {
    // Bytes that arrived while the thread was held up are read before a timer expires, so that a request is
    // not judged by a silence that has ended.
    traffic.timers.after(milliseconds(0), [&traffic, target_id, is_certain] {
        fail_over_stalled_requests(traffic, target_id, is_certain);
    });
}

} // namespace lovage
