#include "lovage/traffic/target_learning.h"

#include "lovage/traffic/gateway_traffic.h"

#include <algorithm>

namespace lovage {

namespace {

// Shorter prompts take mostly other time than prefill.
constexpr std::uint64_t k_min_prefill_tokens = 100;
// Age up to which the load that a target states counts.
constexpr milliseconds k_max_load_age{500};
// Relative time of a target that counts as slow in the metrics.
constexpr double k_slow_time = 1.5;
// Statements about performance in one report, which must fit into one datagram.
constexpr std::size_t k_max_statements = 24;

double to_fractional_ms(time_point::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

target_start start_of(const target_record& target) {
    return {target.id, target.started_ms};
}

std::uint32_t concurrency_at(gateway_traffic& traffic, const std::string& id) {
    const auto& usage = traffic.usage[id];
    const bool is_recent = traffic.timers.now() - usage.reported_at < k_max_load_age;
    return usage.in_flight +
           std::max(sum_peer_usage(traffic, id).in_flight, is_recent ? usage.peer_requests : 0);
}

void learn(gateway_traffic& traffic, const std::string& service, const target_record& target, work_time kind,
           double value) {
    if (is_learning(traffic, service)) {
        record_work_time(traffic.performance[service], start_of(target), kind, value,
                         concurrency_at(traffic, target.id), traffic.timers.now());
        traffic.sink.count("gateway_performance_samples", std::string(name_of(k_work_time_names, kind)));
    }
}

const target_record* find_start(const gateway_traffic& traffic, const std::string& service,
                                const target_start& start) {
    const auto& targets = targets_of(traffic, service);
    const auto found = std::find_if(targets.begin(), targets.end(), [&start](const target_record& target) {
        return target.id == start.id && target.started_ms == start.started_ms;
    });
    return found != targets.end() ? &*found : nullptr;
}

bool is_engine_service(const gateway_traffic& traffic, const std::string& service) {
    if (!traffic.view->table) {
        return false;
    }
    const auto found = traffic.view->table->services.find(service);
    return found != traffic.view->table->services.end() && found->second.engine.has_value();
}

bool has_free_place(const target_candidate& candidate, time_point now) {
    const auto& usage = candidate.usage;
    const auto slots = candidate.record->slots > 0 ? candidate.record->slots : k_max_concurrency;
    return now >= usage.avoid_until &&
           usage.in_flight + usage.peer_requests <
               std::min<std::size_t>(slots, candidate.concurrency_limit.value_or(k_max_concurrency));
}

} // namespace

bool is_learning(const gateway_traffic& traffic, const std::string& service) {
    const auto found = traffic.performance.find(service);
    return learns_targets(traffic.options.load,
                          found != traffic.performance.end() && found->second.states_time_factor);
}

void learn_time_factor(gateway_traffic& traffic, const std::string& service, const target_record& target,
                       double percent) {
    if (traffic.options.load.target_learning == mechanism_switch::off) {
        return;
    }
    auto& model = traffic.performance[service];
    const bool was_stated = model.states_time_factor;
    record_time_factor(model, start_of(target), percent, traffic.timers.now());
    if (!was_stated && model.states_time_factor) {
        traffic.sink.log(log_level::info, "target_learning_started",
                         {{"service", service}, {"target", target.id}});
    }
}

void learn_prefill(gateway_traffic& traffic, const std::string& service, const target_record& target,
                   std::uint64_t tokens, time_point::duration taken) {
    if (tokens >= k_min_prefill_tokens) {
        learn(traffic, service, target, work_time::prefill,
              to_fractional_ms(taken) / static_cast<double>(tokens));
    }
}

void learn_gap(gateway_traffic& traffic, const std::string& service, const target_record& target,
               time_point::duration mean_gap) {
    learn(traffic, service, target, work_time::generation, to_fractional_ms(mean_gap));
}

void learn_response(gateway_traffic& traffic, const std::string& service, const target_record& target,
                    time_point::duration taken) {
    learn(traffic, service, target, work_time::plain, to_fractional_ms(taken));
}

void learn_other_answer(gateway_traffic& traffic, const std::string& service, const target_record& target) {
    if (is_learning(traffic, service)) {
        record_response(traffic.performance[service], start_of(target), traffic.timers.now());
    }
}

void add_learned(gateway_traffic& traffic, const std::string& service,
                 std::vector<target_candidate>& candidates) {
    if (!is_learning(traffic, service)) {
        return;
    }
    auto& model = traffic.performance[service];
    const auto now = traffic.timers.now();
    const bool is_engine = is_engine_service(traffic, service);
    for (auto& candidate : candidates) {
        const auto start = start_of(*candidate.record);
        auto times = times_of(model, start, now);
        // All work at a service is of one sort, whatever its callers state about tokens.
        if (is_engine) {
            times.plain = times.generation;
        } else {
            times.prefill = times.plain;
            times.generation = times.plain;
        }
        candidate.times = times;
        candidate.concurrency_limit = concurrency_limit(model, start, now);
    }
}

std::optional<milliseconds> late_call_limit(gateway_traffic& traffic, const std::string& service,
                                            version_side side, const target_record& target) {
    if (!is_learning(traffic, service)) {
        return std::nullopt;
    }
    const auto now = traffic.timers.now();
    const auto candidates = candidates_of(traffic, service, side);
    // While all targets are full, a second run would only make the calls of all of them later.
    if (std::none_of(candidates.begin(), candidates.end(), [&](const target_candidate& candidate) {
            return candidate.record->id != target.id && has_free_place(candidate, now);
        })) {
        return std::nullopt;
    }
    return late_after(traffic.performance[service], start_of(target), concurrency_at(traffic, target.id),
                      now);
}

performance_summary summarize_performance(gateway_traffic& traffic) {
    performance_summary summary;
    const auto now = traffic.timers.now();
    for (auto& [service, model] : traffic.performance) {
        for (const auto& target : targets_of(traffic, service)) {
            if (is_learning(traffic, service)) {
                const auto times = times_of(model, start_of(target), now);
                const double longest = std::max({times.prefill, times.generation, times.plain});
                summary.slow += longest >= k_slow_time ? 1 : 0;
                summary.limited += concurrency_limit(model, start_of(target), now) ? 1 : 0;
            }
        }
    }
    return summary;
}

void add_performance(gateway_traffic& traffic, peer_report& report) {
    struct found_statement {
        const std::string* service;
        ranked_statement ranked;
    };
    std::vector<found_statement> found;
    const auto now = traffic.timers.now();
    for (auto& [service, model] : traffic.performance) {
        if (is_learning(traffic, service)) {
            for (auto& ranked : statements_of(model, now)) {
                found.push_back({&service, std::move(ranked)});
            }
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.ranked.urgency > b.ranked.urgency; });
    found.resize(std::min(found.size(), k_max_statements));
    for (auto& [service, ranked] : found) {
        note_sent(traffic.performance[*service], ranked.statement, now);
        report.performance.push_back({*service, std::move(ranked.statement)});
    }
}

void apply_performance(gateway_traffic& traffic, const peer_report& report) {
    const auto now = traffic.timers.now();
    const auto count = std::min(report.performance.size(), k_max_statements);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& [service, statement] = report.performance[i];
        if (!is_learning(traffic, service)) {
            continue;
        }
        const bool is_applied = find_start(traffic, service, statement.target) != nullptr &&
                                apply_statement(traffic.performance[service], report.node, statement, now);
        traffic.sink.count("gateway_performance_statements", is_applied ? "applied" : "other_start");
    }
}

} // namespace lovage
