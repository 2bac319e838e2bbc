#include "lovage/traffic/version_evidence.h"

#include "lovage/core/ids.h"
#include "lovage/traffic/gateway_traffic.h"

#include <algorithm>
#include <limits>

namespace lovage {

namespace {

// An answer is slow if it takes more than this many times the baseline. An engine that reads two prompts at
// once doubles the latency of a stream, which must not count. Other answers spread less, but the targets of a
// service differ in speed.
constexpr double k_slow_stream_factor = 3.0;
constexpr double k_slow_answer_factor = 2.5;
// Number of answers of the usual version that the baseline needs before any answer counts as slow.
constexpr std::uint64_t k_min_baseline_answers = 10;
// Weight of a new answer in the running means.
constexpr double k_mean_weight = 0.05;
// Number of baselines at which all start anew, since routes that were removed from the configuration leave
// theirs behind. It is well above the routes of a configuration.
constexpr std::size_t k_max_baselines = 10'000;

double slow_factor(const observed_answer& answer) {
    return answer.is_stream ? k_slow_stream_factor : k_slow_answer_factor;
}

double to_fractional_ms(time_point::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

struct observation {
    evidence_key key;
    bool is_usual = true;
    bool is_evaluated = false;
    double slow_factor = k_slow_stream_factor;
    baseline_latency* baseline = nullptr;
};

// Returns whether `value` is slow, and updates the mean with answers of the usual version.
bool compare_and_update_mean(double& mean, const observation& made, double value) {
    const bool is_slow = made.baseline->answers >= k_min_baseline_answers && value > made.slow_factor * mean;
    if (made.is_usual) {
        // The first gap is observed after the first event, when `answers` is no longer 0.
        mean = mean <= 0.0 ? value : mean + k_mean_weight * (value - mean);
    }
    return is_slow;
}

// All versions except one that is rolled out or was reverted count as the usual version. The baseline is kept
// between moves, since a move of a service with few requests ends before each process has one.
observation make_observation(gateway_traffic& traffic, const observed_answer& answer) {
    const auto* split = find_split(traffic, answer.service);
    observation made;
    made.is_evaluated = split != nullptr && split->is_evaluated;
    const bool has_landed = split != nullptr && !split->is_evaluated && split->share >= 1.0;
    made.is_usual = split == nullptr || has_landed || answer.version != split->version;
    made.slow_factor = slow_factor(answer);
    made.key = {answer.service, made.is_usual ? std::string() : answer.version, answer.route};
    auto& baselines = traffic.versions.baselines;
    if (baselines.size() >= k_max_baselines) {
        baselines.clear();
    }
    made.baseline = &baselines[{answer.service, answer.route}];
    return made;
}

// A version is better than one that only fails, whatever its latency.
bool can_be_compared(const baseline_latency& baseline) {
    return baseline.answers + baseline.failures >= k_min_baseline_answers;
}

void record_evidence(gateway_traffic& traffic, const observation& made, evidence_event_kind kind) {
    if (made.is_evaluated) {
        traffic.versions.evidence.record(made.key, kind);
    }
}

} // namespace

const version_split* find_split(const gateway_traffic& traffic, const std::string& service) {
    const auto found = traffic.view->splits.find(service);
    return found == traffic.view->splits.end() ? nullptr : &found->second;
}

version_side choose_version_side(const gateway_traffic& traffic, const std::string& service,
                                 const std::string& route, const std::string& request_id) {
    const auto* split = find_split(traffic, service);
    if (split == nullptr || split->share <= 0.0) {
        return version_side::usual;
    }
    if (split->share >= 1.0) {
        return version_side::moved;
    }
    const auto baseline = traffic.versions.baselines.find({service, route});
    if (baseline == traffic.versions.baselines.end() || !can_be_compared(baseline->second)) {
        return version_side::usual;
    }
    // The hash is seeded with the move's name, so that different moves select different requests.
    const auto hash = static_cast<double>(hash_bytes(request_id, hash_bytes(split->move)));
    const double position = hash / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return position < split->share ? version_side::moved : version_side::usual;
}

std::optional<milliseconds> slow_threshold(const gateway_traffic& traffic, const observed_answer& answer) {
    const auto* split = find_split(traffic, answer.service);
    const auto baseline = traffic.versions.baselines.find({answer.service, answer.route});
    if (split == nullptr || !split->is_evaluated || baseline == traffic.versions.baselines.end() ||
        baseline->second.answers < k_min_baseline_answers) {
        return std::nullopt;
    }
    return milliseconds(static_cast<std::int64_t>(slow_factor(answer) * baseline->second.first_ms) + 1);
}

void observe_first_event(gateway_traffic& traffic, const observed_answer& answer,
                         time_point::duration waited) {
    const auto made = make_observation(traffic, answer);
    auto& baseline = *made.baseline;
    const bool is_slow = compare_and_update_mean(baseline.first_ms, made, to_fractional_ms(waited));
    baseline.answers += made.is_usual ? 1 : 0;
    record_evidence(traffic, made,
                    is_slow ? evidence_event_kind::slow_first_token : evidence_event_kind::first_token);
}

void observe_overdue(gateway_traffic& traffic, const observed_answer& answer, bool has_begun) {
    record_evidence(traffic, make_observation(traffic, answer),
                    has_begun ? evidence_event_kind::slow_gap : evidence_event_kind::slow_first_token);
}

void observe_gap(gateway_traffic& traffic, const observed_answer& answer, time_point::duration mean_gap) {
    const auto made = make_observation(traffic, answer);
    if (compare_and_update_mean(made.baseline->gap_ms, made, to_fractional_ms(mean_gap))) {
        record_evidence(traffic, made, evidence_event_kind::slow_gap);
    }
}

void observe_completion(gateway_traffic& traffic, const observed_answer& answer, time_point::duration taken) {
    const auto made = make_observation(traffic, answer);
    if (made.is_usual) {
        auto& mean = made.baseline->whole_ms;
        mean =
            mean <= 0.0 ? to_fractional_ms(taken) : mean + k_mean_weight * (to_fractional_ms(taken) - mean);
    }
}

void observe_failure(gateway_traffic& traffic, const observed_answer& answer) {
    const auto made = make_observation(traffic, answer);
    made.baseline->failures += made.is_usual ? 1 : 0;
    record_evidence(traffic, made, evidence_event_kind::failure);
}

bool is_evaluating_version(const gateway_traffic& traffic) {
    const auto& splits = traffic.view->splits;
    return std::any_of(splits.begin(), splits.end(),
                       [](const auto& item) { return item.second.is_evaluated; });
}

move_evidence collect_evidence(const gateway_traffic& traffic) {
    move_evidence evidence;
    const auto& own = traffic.peers;
    evidence.reports.emplace_back(own.node, traffic.versions.evidence.report());
    for (const auto* report : live_reports(traffic)) {
        evidence.reports.emplace_back(report->node, evidence_message{report->evidence});
        evidence.vetoes.insert(evidence.vetoes.end(), report->vetoes.begin(), report->vetoes.end());
        // Processes that are shutting down are not counted in the write rank.
        evidence.write_rank += !report->is_leaving && report->node < own.node ? 1 : 0;
    }
    for (const auto& [key, baseline] : traffic.versions.baselines) {
        auto& longest = evidence.request_times[key.first];
        longest = std::max(longest, milliseconds(static_cast<std::int64_t>(baseline.whole_ms)));
    }
    for (const auto& [service, split] : traffic.view->splits) {
        const auto& table = traffic.view->table;
        const auto found = table ? table->services.find(service) : decltype(table->services.end())();
        if (table && found != table->services.end() && found->second.engine) {
            // A stream may take longer than this process has been evaluating, so its observed durations alone
            // are too short.
            auto& longest = evidence.request_times[service];
            longest =
                std::max(longest, std::chrono::duration_cast<milliseconds>(traffic.mean_stream_duration));
        }
    }
    return evidence;
}

} // namespace lovage
