#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// How fast the targets of a service are, learned from their responses.
///
/// Load pattern: targets of one service differ in speed, permanently or for spells of 0.6 to 6.5 s. Placement
/// by the number of requests gives a slow target as many requests as a fast one, and these are late.

/// Kinds of work whose times are learned separately.
enum class work_time : std::uint8_t {
    /// Time from the start of an attempt to its first event, per prompt token.
    prefill,
    /// Time between two events of a stream.
    generation,
    /// Response time of a plain call.
    plain,
};
inline constexpr std::size_t k_work_time_count = 3;
inline constexpr enum_names<k_work_time_count> k_work_time_names{"prefill", "generation", "plain"};
static_assert(static_cast<std::size_t>(work_time::plain) + 1 == k_work_time_count);

/// Times of a target relative to the usual ones of its service at the same concurrency; 1.0 is usual.
struct relative_times {
    double prefill = 1.0;
    double generation = 1.0;
    double plain = 1.0;
};

/// One start of a target.
struct target_start {
    std::string id;
    /// `target_record::started_ms`.
    std::uint64_t started_ms = 0;
};

/// Recent samples of one process: the mean of the logarithms of relative times, and the weight of the samples
/// at `at`, which decays with their age.
struct sample_mean {
    double log_mean = 0.0;
    double weight = 0.0;
    time_point at{};
};

/// What one process has measured at a target lately, as peers tell each other.
struct performance_statement {
    target_start target;
    work_time kind = work_time::prefill;
    /// Relative time in per mille of the usual one.
    std::uint32_t permille = 1'000;
    /// Weight of the samples, in hundredths of a sample.
    std::uint32_t weight_percent = 0;
};

/// A statement and how much a report needs it; the largest come first.
struct ranked_statement {
    performance_statement statement;
    double urgency = 0.0;
};

/// Samples of one kind at one target.
struct learned_time {
    sample_mean own;
    /// The last statement of each peer.
    std::map<std::string, sample_mean> peers;
    /// Logarithm of the relative time over the last tens of seconds.
    double settled_log = 0.0;
    time_point settled_at{};
    /// When the first sample or statement arrived; none has while it is empty.
    std::optional<time_point> first;
    /// The last own statement that was sent, and when.
    double sent_log = 0.0;
    time_point sent_at{};
};

/// Response time at one number of concurrent requests.
struct concurrency_point {
    /// Logarithm of a low quantile of the time in ms.
    double log_ms = 0.0;
    std::uint32_t samples = 0;
    time_point last{};
};
/// Largest concurrency that is told apart. Larger ones count as this one.
inline constexpr std::size_t k_max_concurrency = 32;

/// What is known of one start of a target.
struct learned_target {
    std::uint64_t started_ms = 0;
    /// Started after this process and has not responded yet.
    bool is_new = false;
    time_point last_used{};
    std::array<learned_time, k_work_time_count> times;
    std::array<concurrency_point, k_max_concurrency> curve;
    /// Time factor that the target states; 1.0 is usual.
    double stated_factor = 0.0;
    time_point stated_at{};
    /// The last result of `times_of`, used again for some ms; empty after a sample.
    std::optional<relative_times> result;
    time_point result_at{};
};

/// Running mean of the logarithm of the times of a service at one range of concurrency.
struct usual_time {
    double log_mean = 0.0;
    std::uint32_t samples = 0;
};
/// Ranges of concurrency: 0, 1, 2 to 3, 4 to 7 and so on; the last one has no end.
inline constexpr std::size_t k_concurrency_ranges = 8;

/// The performance of the targets of one service.
struct target_performance {
    /// First use since the model was last empty. Targets that are known by then are not new.
    time_point created{};
    std::map<std::string, learned_target> targets;
    std::array<std::array<usual_time, k_concurrency_ranges>, k_work_time_count> usual{};
    /// Median of the settled values of the targets with samples, which is relative time 1.0.
    std::array<double, k_work_time_count> median_log{};
    time_point median_at{};
    /// Logarithm of a high quantile of the ratio of response times to the expected ones.
    double log_late_ratio = 0.0;
    /// A target has stated a time factor.
    bool states_time_factor = false;
};

/// Records one sample of this process. `value` is in ms, for `prefill` in ms per token; values that are not
/// positive are ignored. `concurrency` is the number of requests at the target, this one included. Samples
/// of an earlier start of the target are ignored.
void record_work_time(target_performance& model, const target_start& target, work_time kind, double value,
                      std::uint32_t concurrency, time_point now);

/// Records a response that says nothing of the target's times, such as a redirect or a client error. A new
/// target no longer counts as new after it.
void record_response(target_performance& model, const target_start& target, time_point now);

/// Records the time factor that a target states, in per cent; 100 is usual.
void record_time_factor(target_performance& model, const target_start& target, double percent,
                        time_point now);

/// Applies a statement of the peer `node`. Returns false if it concerns another start of the target. The
/// caller checks that the target exists.
bool apply_statement(target_performance& model, const std::string& node,
                     const performance_statement& statement, time_point now);

/// Returns what this process has measured lately and peers need to know, ranked by how much it changed since
/// it was last sent, and discards targets that have not been used lately.
std::vector<ranked_statement> statements_of(target_performance& model, time_point now);

/// Notes that a statement is sent, so that the next reports prefer others.
void note_sent(target_performance& model, const performance_statement& statement, time_point now);

/// Returns the relative times of a target; the usual ones for a target without samples. A target that was not
/// known before is recorded as new.
relative_times times_of(target_performance& model, const target_start& target, time_point now);

/// Returns the number of concurrent requests at a target above which its times rise, at least 1, or nothing
/// if no such number has been observed. A new target has a small one until it has responded.
std::optional<std::uint32_t> concurrency_limit(target_performance& model, const target_start& target,
                                               time_point now);

/// Returns the time after which a plain call is late by the target's own usual times, or nothing while too
/// few responses have been measured. Fewer than one call in thirty takes longer.
std::optional<milliseconds> late_after(target_performance& model, const target_start& target,
                                       std::uint32_t concurrency, time_point now);

} // namespace lovage
