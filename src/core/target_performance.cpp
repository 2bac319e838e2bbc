#include "lovage/core/target_performance.h"

#include <algorithm>
#include <cmath>

namespace lovage {

namespace {

// Decay time of samples: 2 % of their weight is left after 2 s, within which a change must be followed.
constexpr double k_sample_decay_ms = 500.0;
// Weight of the settled value against recent samples, in samples; damps single outliers.
constexpr double k_settled_weight = 0.5;
// Time in which the settled value follows, longer than the spells of slowness (0.6 to 6.5 s), shorter after
// the first sample; and in which it returns to usual without samples.
constexpr double k_settling_ms = 8'000.0;
constexpr double k_first_settling_ms = 1'000.0;
constexpr double k_forgetting_ms = 30'000.0;
// Ages up to which the median of all targets and the result for one target are used again, which bounds the
// cost of a placement among hundreds of targets.
constexpr milliseconds k_median_life{100};
constexpr milliseconds k_result_life{50};
// Bounds of one sample and of a statement: targets of one service differ 5 times at most; more is a
// failure, which has its own backoff.
constexpr double k_min_ratio = 0.25;
constexpr double k_max_ratio = 8.0;
// Weight of the newest sample in the usual times, after the first 50 samples.
constexpr double k_usual_weight = 0.02;
// Count at which samples are counted no further, so that the counter does not overflow.
constexpr std::uint32_t k_max_usual_samples = 1'000'000;
// Part of a target's own relative time that is taken out of its samples before they count for the usual
// times. Otherwise a slow target, which has more requests at a time than others, would set what is usual at
// its concurrency. The rest keeps the mean of all targets at 1.0.
constexpr double k_corrected_part = 0.9;
// A process sends a target at most about this many samples within the decay time.
constexpr double k_max_statement_weight = 16.0;
// The weight of a peer's statement falls linearly to 0 over this time, in which several reports follow.
constexpr double k_statement_life_ms = 2'000.0;
// Peers whose statements about one value are kept; bounds the memory in a fleet of hundreds.
constexpr std::size_t k_max_peers_per_value = 32;
// Own samples of less weight are not sent.
constexpr double k_min_sent_weight = 0.3;
// Urgency per second since a statement was last sent, in logarithms, and the least urgency that is sent: a
// statement is repeated after half a second or a change by 10 %.
constexpr double k_urgency_per_second = 0.2;
constexpr double k_min_urgency = 0.1;
// A stated time factor may be false: it raises the times at most to this, and expires.
constexpr double k_max_stated_factor = 2.0;
constexpr double k_stated_life_ms = 1'000.0;
// Weight of the newest stated factor, which changes many times a second.
constexpr double k_stated_weight = 0.3;
constexpr double k_max_stated_percent = 100'000.0;
// Targets first seen within this time after the first use were there before the process.
constexpr milliseconds k_start_period{2'000};
// Concurrent requests at a target that has not responded yet.
constexpr std::uint32_t k_new_target_limit = 2;
// A concurrency is beyond the limit if its time is this much above the shortest one at lower ones.
constexpr double k_rise = 1.5;
// Weights of a quicker and of a slower sample, so that the mean stays at the low end and spells of slowness,
// which last for a sixth of the time, do not raise it.
constexpr double k_quicker_weight = 0.5;
constexpr double k_slower_weight = 0.12;
constexpr std::uint32_t k_min_point_samples = 4;
// Points expire, so that a limit is tried again.
constexpr milliseconds k_point_life{10'000};
// The late ratio is the quantile of this rank, and moves by this step. Bounds: below twice the expected time
// a call is not late; above 6 times it is.
constexpr double k_late_rank = 0.97;
constexpr double k_late_step = 0.1;
constexpr double k_min_late_ratio = 2.0;
constexpr double k_max_late_ratio = 6.0;
// Samples of the usual time that are needed before a call counts as late, and before other concurrencies are
// not considered.
constexpr std::uint32_t k_min_usual_samples = 10;
// Network delays and the precision of timers.
constexpr milliseconds k_min_late_after{20};

double ms_between(time_point from, time_point to) {
    return std::max(std::chrono::duration<double, std::milli>(to - from).count(), 0.0);
}

double clamp_log(double log_ratio) {
    return std::clamp(log_ratio, std::log(k_min_ratio), std::log(k_max_ratio));
}

double weight_at(const sample_mean& mean, time_point now) {
    return mean.weight * std::exp(-ms_between(mean.at, now) / k_sample_decay_ms);
}

double peer_weight_at(const sample_mean& mean, time_point now) {
    return mean.weight * std::max(1.0 - ms_between(mean.at, now) / k_statement_life_ms, 0.0);
}

// Returns the entry of this start of a target, or null if a later start is known.
learned_target* use_target(target_performance& model, const target_start& target, time_point now) {
    if (model.targets.empty()) {
        model.created = now;
    }
    const auto [found, is_added] = model.targets.try_emplace(target.id);
    auto& known = found->second;
    if (!is_added && target.started_ms < known.started_ms) {
        return nullptr;
    }
    const bool has_restarted = !is_added && target.started_ms > known.started_ms;
    if (has_restarted) {
        known = {};
    }
    if (is_added || has_restarted) {
        known.started_ms = target.started_ms;
        known.is_new = has_restarted || now - model.created > k_start_period;
    }
    known.last_used = now;
    return &known;
}

std::size_t range_of(std::uint32_t concurrency) {
    std::size_t range = 0;
    for (; concurrency > 0; concurrency /= 2) {
        ++range;
    }
    return std::min(range, k_concurrency_ranges - 1);
}

// Returns the usual time at this concurrency or else at the nearest one with enough samples or, if there is
// none, with any; null if there are no samples.
const usual_time* usual_at(const target_performance& model, work_time kind, std::size_t range) {
    const auto& ranges = model.usual.at(static_cast<std::size_t>(kind));
    for (const auto min_samples : {k_min_usual_samples, std::uint32_t{1}}) {
        for (std::size_t distance = 0; distance < ranges.size(); ++distance) {
            if (distance <= range && ranges.at(range - distance).samples >= min_samples) {
                return &ranges.at(range - distance);
            }
            if (range + distance < ranges.size() && ranges.at(range + distance).samples >= min_samples) {
                return &ranges.at(range + distance);
            }
        }
    }
    return nullptr;
}

void record_usual(target_performance& model, work_time kind, std::size_t range, double log_value) {
    auto& usual = model.usual.at(static_cast<std::size_t>(kind)).at(range);
    usual.samples = std::min(usual.samples + 1, k_max_usual_samples);
    usual.log_mean += std::max(1.0 / usual.samples, k_usual_weight) * (log_value - usual.log_mean);
}

// The value without recent samples: it returns to usual with time.
double settled_at(const learned_time& time, time_point now) {
    return time.settled_log * std::exp(-ms_between(time.settled_at, now) / k_forgetting_ms);
}

// Combines the samples of this process and its peers with the settled value.
double log_at(const learned_time& time, time_point now) {
    const double own = weight_at(time.own, now);
    double total = own + k_settled_weight;
    for (const auto& [node, mean] : time.peers) {
        total += peer_weight_at(mean, now);
    }
    double weight = own + k_settled_weight;
    double sum = own * time.own.log_mean + k_settled_weight * settled_at(time, now);
    for (const auto& [node, mean] : time.peers) {
        // One peer counts no more than all other samples together.
        const double stated = peer_weight_at(mean, now);
        const double counted = std::min(stated, total - stated);
        weight += counted;
        sum += counted * mean.log_mean;
    }
    return sum / weight;
}

// Moves the settled value towards the present one.
void settle(learned_time& time, time_point now) {
    if (!time.first) {
        time.first = now;
        time.settled_at = now;
    }
    const double elapsed = ms_between(time.settled_at, now);
    const double period = std::min(k_first_settling_ms + ms_between(*time.first, now), k_settling_ms);
    const double value = log_at(time, now);
    const double settled = settled_at(time, now);
    time.settled_log = settled + (1.0 - std::exp(-elapsed / period)) * (value - settled);
    time.settled_at = now;
}

// Returns the median of the targets, so that a few slow ones do not change what is usual.
double median_of(target_performance& model, work_time kind, time_point now) {
    if (now - model.median_at >= k_median_life) {
        model.median_at = now;
        for (std::size_t i = 0; i < k_work_time_count; ++i) {
            std::vector<double> values;
            for (const auto& [id, target] : model.targets) {
                if (target.times.at(i).first) {
                    values.push_back(settled_at(target.times.at(i), now));
                }
            }
            const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
            std::nth_element(values.begin(), middle, values.end());
            model.median_log.at(i) = values.empty() ? 0.0 : *middle;
        }
    }
    return model.median_log.at(static_cast<std::size_t>(kind));
}

void record_point(learned_target& target, double log_ms, std::uint32_t concurrency, time_point now) {
    const auto index = std::clamp<std::size_t>(concurrency, 1, k_max_concurrency) - 1;
    auto& point = target.curve.at(index);
    if (now - point.last > k_point_life) {
        point = {log_ms, 0, now};
    }
    point.log_ms += (log_ms < point.log_ms ? k_quicker_weight : k_slower_weight) * (log_ms - point.log_ms);
    ++point.samples;
    point.last = now;
}

void record_late_ratio(target_performance& model, double log_ratio) {
    const double step = log_ratio > model.log_late_ratio ? k_late_rank : k_late_rank - 1.0;
    model.log_late_ratio = std::clamp(model.log_late_ratio + k_late_step * step, std::log(k_min_late_ratio),
                                      std::log(k_max_late_ratio));
}

// Returns 0 if nothing was stated lately.
double stated_factor_at(const learned_target& target, time_point now) {
    const double age = ms_between(target.stated_at, now);
    return age >= k_stated_life_ms ? 0.0 : target.stated_factor;
}

} // namespace

void record_work_time(target_performance& model, const target_start& target, work_time kind, double value,
                      std::uint32_t concurrency, time_point now) {
    auto* known = use_target(model, target, now);
    if (known == nullptr || !(value > 0.0) || !std::isfinite(value)) {
        return;
    }
    known->is_new = false;
    const auto range = range_of(concurrency);
    const double log_value = std::log(value);
    const auto* usual = usual_at(model, kind, range);
    const double log_ratio = clamp_log(usual != nullptr ? log_value - usual->log_mean : 0.0);
    auto& time = known->times.at(static_cast<std::size_t>(kind));
    if (kind == work_time::plain) {
        record_late_ratio(model, log_ratio - settled_at(time, now));
        record_point(*known, log_value, concurrency, now);
    }
    const double base = usual != nullptr ? usual->log_mean : log_value;
    record_usual(model, kind, range, base + log_ratio - k_corrected_part * log_at(time, now));
    const double weight = weight_at(time.own, now);
    time.own.log_mean = (weight * time.own.log_mean + log_ratio) / (weight + 1.0);
    time.own.weight = weight + 1.0;
    time.own.at = now;
    settle(time, now);
    known->result.reset();
}

void record_response(target_performance& model, const target_start& target, time_point now) {
    if (auto* known = use_target(model, target, now)) {
        known->is_new = false;
    }
}

void record_time_factor(target_performance& model, const target_start& target, double percent,
                        time_point now) {
    auto* known = use_target(model, target, now);
    if (known == nullptr || !(percent > 0.0) || percent > k_max_stated_percent) {
        return;
    }
    model.states_time_factor = true;
    const double before = stated_factor_at(*known, now);
    const double stated = std::min(percent / 100.0, k_max_stated_factor);
    known->stated_factor = before > 0.0 ? before + k_stated_weight * (stated - before) : stated;
    known->stated_at = now;
    known->result.reset();
}

bool apply_statement(target_performance& model, const std::string& node,
                     const performance_statement& statement, time_point now) {
    const auto found = model.targets.find(statement.target.id);
    if (found != model.targets.end() && found->second.started_ms != statement.target.started_ms) {
        return false;
    }
    auto& known = *use_target(model, statement.target, now);
    const double weight = std::min(statement.weight_percent / 100.0, k_max_statement_weight);
    auto& time = known.times.at(static_cast<std::size_t>(statement.kind));
    for (auto peer = time.peers.begin(); peer != time.peers.end();) {
        peer = peer_weight_at(peer->second, now) <= 0.0 ? time.peers.erase(peer) : std::next(peer);
    }
    if (weight <= 0.0 || (time.peers.size() >= k_max_peers_per_value && time.peers.count(node) == 0)) {
        return true;
    }
    const double ratio = std::max<double>(statement.permille, 1.0) / 1'000.0;
    time.peers[node] = {clamp_log(std::log(ratio)) + median_of(model, statement.kind, now), weight, now};
    known.is_new = false;
    known.result.reset();
    settle(time, now);
    return true;
}

std::vector<ranked_statement> statements_of(target_performance& model, time_point now) {
    std::vector<ranked_statement> statements;
    for (auto entry = model.targets.begin(); entry != model.targets.end();) {
        auto& [id, target] = *entry;
        if (ms_between(target.last_used, now) > k_forgetting_ms) {
            entry = model.targets.erase(entry);
            continue;
        }
        for (std::size_t kind = 0; kind < k_work_time_count; ++kind) {
            const auto& time = target.times.at(kind);
            const double weight = weight_at(time.own, now);
            const double urgency = std::abs(time.own.log_mean - time.sent_log) +
                                   k_urgency_per_second * ms_between(time.sent_at, now) / 1'000.0;
            if (weight < k_min_sent_weight || urgency < k_min_urgency) {
                continue;
            }
            const double ratio =
                std::exp(time.own.log_mean - median_of(model, static_cast<work_time>(kind), now));
            ranked_statement ranked;
            ranked.statement.target = {id, target.started_ms};
            ranked.statement.kind = static_cast<work_time>(kind);
            ranked.statement.permille = static_cast<std::uint32_t>(std::lround(1'000.0 * ratio));
            ranked.statement.weight_percent = static_cast<std::uint32_t>(std::lround(100.0 * weight));
            ranked.urgency = urgency;
            statements.push_back(std::move(ranked));
        }
        ++entry;
    }
    std::sort(statements.begin(), statements.end(),
              [](const auto& a, const auto& b) { return a.urgency > b.urgency; });
    return statements;
}

void note_sent(target_performance& model, const performance_statement& statement, time_point now) {
    const auto found = model.targets.find(statement.target.id);
    if (found != model.targets.end()) {
        auto& time = found->second.times.at(static_cast<std::size_t>(statement.kind));
        time.sent_log = time.own.log_mean;
        time.sent_at = now;
    }
}

relative_times times_of(target_performance& model, const target_start& target, time_point now) {
    auto* known = use_target(model, target, now);
    if (known == nullptr) {
        return {};
    }
    if (known->result && now - known->result_at < k_result_life) {
        return *known->result;
    }
    const double stated = stated_factor_at(*known, now);
    const auto time_of = [&](work_time kind) {
        const auto& time = known->times.at(static_cast<std::size_t>(kind));
        const double measured = time.first ? std::exp(log_at(time, now) - median_of(model, kind, now)) : 1.0;
        return std::max(measured, stated);
    };
    known->result = {time_of(work_time::prefill), time_of(work_time::generation), time_of(work_time::plain)};
    known->result_at = now;
    return *known->result;
}

std::optional<std::uint32_t> concurrency_limit(target_performance& model, const target_start& target,
                                               time_point now) {
    const auto* known = use_target(model, target, now);
    if (known == nullptr) {
        return std::nullopt;
    }
    if (known->is_new) {
        return k_new_target_limit;
    }
    // An engine has no curve.
    if (known->times.at(static_cast<std::size_t>(work_time::plain)).own.weight <= 0.0) {
        return std::nullopt;
    }
    std::optional<double> shortest;
    for (std::uint32_t concurrency = 1; concurrency <= k_max_concurrency; ++concurrency) {
        const auto& point = known->curve.at(concurrency - 1);
        if (point.samples < k_min_point_samples || now - point.last > k_point_life) {
            continue;
        }
        if (shortest && point.log_ms > *shortest + std::log(k_rise)) {
            return concurrency - 1;
        }
        shortest = shortest ? std::min(*shortest, point.log_ms) : point.log_ms;
    }
    return std::nullopt;
}

std::optional<milliseconds> late_after(target_performance& model, const target_start& target,
                                       std::uint32_t concurrency, time_point now) {
    const auto* known = use_target(model, target, now);
    const auto* usual = usual_at(model, work_time::plain, range_of(concurrency));
    if (known == nullptr || usual == nullptr || usual->samples < k_min_usual_samples) {
        return std::nullopt;
    }
    const double settled = settled_at(known->times.at(static_cast<std::size_t>(work_time::plain)), now);
    const double ms = std::exp(usual->log_mean + settled + model.log_late_ratio);
    return std::max(milliseconds(static_cast<std::int64_t>(std::ceil(ms))), k_min_late_after);
}

} // namespace lovage
