#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/evidence.h"
#include "lovage/core/fleet_config.h"
#include "lovage/core/move_record.h"
#include "lovage/core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// Share of new requests that a new version gets during the canary. The larger share is used when the smaller
/// one has not yielded enough requests after half of the time for the canary.
inline constexpr double k_canary_share = 0.02;
inline constexpr double k_max_canary_share = 0.05;
/// Shares of the ramp-up steps (phase `growing`) after the canary.
inline constexpr std::array<double, 4> k_growth_shares{0.10, 0.25, 0.50, 1.0};

/// Requests after which the canary may end: at a failure rate of 5%, the probability of no failure in 100
/// requests is 0.6%.
inline constexpr std::uint64_t k_canary_requests = 100;
/// Requests after which a ramp-up step may end; fewer than for the canary, which has already excluded gross
/// defects.
inline constexpr std::uint64_t k_growth_requests = 50;
/// Minimum number of requests for a step to pass when its time runs out: at a failure rate of 14%, the
/// probability of no failure in 20 requests is 5%.
inline constexpr std::uint64_t k_minimum_requests = 20;

/// A move lands (completes) at least this long before its deadline, so that all entries learn of it in time.
inline constexpr milliseconds k_landing_margin{3'000};
/// Bounds of the minimum duration of a step. The test needs about 2 s.
inline constexpr milliseconds k_min_step_time_floor{3'000};
inline constexpr milliseconds k_min_step_time_ceiling{30'000};

/// How evidence is evaluated in rounds. When a target fails, many of its requests fail at once, and the
/// reports on them arrive within one report interval, that is, in two or three rounds. No round adds more
/// than `max_round_fraction` of the threshold, so that such a burst alone is no veto.
struct evaluation_pace {
    milliseconds round_interval;
    double max_round_fraction;
};
/// Entries evaluate each report. A veto needs defects in at least four rounds (0.75 s from the first to the
/// last).
inline constexpr evaluation_pace k_entry_pace{k_evidence_report_interval, 0.26};
/// Gateways report every k_heartbeat_interval. A veto needs defects in at least five rounds (2 s from the
/// first to the last).
inline constexpr evaluation_pace k_gateway_pace{milliseconds{500}, 0.22};
/// Probability that a good version is vetoed during a move of up to 1,000 requests. The threshold grows with
/// the number of further requests.
inline constexpr double k_false_veto_probability = 1e-4;
inline constexpr double k_threshold_requests = 1'000.0;
/// A step doesn't pass while any test has reached this fraction of its threshold.
inline constexpr double k_max_defect_score = 0.5;

/// Kind of defect that a test counts.
enum class evidence_signal : std::uint8_t { failure, slow_first_token, slow_gap };
inline constexpr std::size_t k_evidence_signal_count = 3;
inline constexpr enum_names<k_evidence_signal_count> k_evidence_signal_names{"failure", "slow_first_token",
                                                                             "slow_gap"};

/// A sequential test of Bernoulli trials against two alternative hypotheses, a moderate and a gross defect.
/// Each statistic is a log-likelihood ratio with a floor of 0 (CUSUM), so that a defect that appears late is
/// detected as fast as an early one.
struct sequential_test {
    double moderate = 0.0;
    double gross = 0.0;
};

/// The tests of one route, or of all routes together.
struct route_evaluation {
    /// Counts of the new and the old version that have already been evaluated.
    evidence_counts evaluated_new;
    evidence_counts evaluated_old;
    /// Exponentially decayed counts of the old version's requests and defects, which follow changes that
    /// affect both versions.
    double recent_requests = 0.0;
    std::array<double, k_evidence_signal_count> recent_defects{};
    std::array<sequential_test, k_evidence_signal_count> tests{};
};

/// Evaluation of the new version of one move.
struct move_evaluation {
    bool has_started = false;
    time_point next_evaluation{};
    std::map<std::string, route_evaluation> routes;
    /// All routes together.
    route_evaluation total;
    /// Totals of the new version at the start of the evaluation and of the current step.
    evidence_counts counts_at_start;
    evidence_counts counts_at_step_start;
    /// Largest test statistic as a fraction of its threshold, between 0 and 1; a defect is found at 1.
    double defect_score = 0.0;
};

/// A detected defect, for which the move is vetoed.
struct defect {
    std::string route;
    evidence_signal signal = evidence_signal::failure;
    /// Human-readable description.
    std::string text;
};

/// Evaluates the evidence that has arrived since the previous round; does nothing before the next round is
/// due by `pace`. `evaluators` is the number of processes that evaluate the same move
/// independently; more of them raise the threshold. Returns at most one defect per round.
std::optional<defect> evaluate_round(move_evaluation& evaluation, const evidence_table& table,
                                     const move_config& move, std::size_t evaluators,
                                     const evaluation_pace& pace, time_point now);

/// Return the requests of the new version since the current step began, and since the evaluation started.
std::uint64_t requests_in_step(const move_evaluation& evaluation, const evidence_table& table,
                               const move_config& move);
std::uint64_t requests_in_total(const move_evaluation& evaluation, const evidence_table& table,
                                const move_config& move);

/// How many targets have each version loaded, and how many are configured.
struct move_capacity {
    std::uint32_t wanted = 0;
    std::uint32_t loaded_from = 0;
    std::uint32_t loaded_to = 0;
};

/// State of the leader's planning of one move.
struct move_plan {
    /// When the current phase and share began, by the leader's clock.
    time_point step_since{};
    bool has_step = false;
    /// Time left until the latest landing time when the step began.
    milliseconds step_time_left{0};
};

/// Input of plan_move.
struct rollout_input {
    const move_config* move = nullptr;
    /// The record of this move in the store, if any.
    std::optional<move_record> record;
    move_capacity capacity;
    /// Requests of the new version in the current step, and since the evaluation started.
    std::uint64_t step_requests = 0;
    std::uint64_t total_requests = 0;
    double defect_score = 0.0;
    bool is_vetoed = false;
    std::string veto_reason;
    time_point now{};
    wall_time wall{};
};

/// Returns the record that should replace the current one, or `nullopt` if it stays. The caller sets
/// `fencing` and `sequence`.
std::optional<move_record> plan_move(move_plan& plan, const rollout_input& input);

/// Returns whether a phase ends a move. A landed move can still be reverted by a veto.
bool is_final(move_phase phase);

/// Returns the state of a move that an entry must act on, without waiting for the store: a move that is
/// vetoed or has not landed by its deadline counts as reverted and gets no traffic. `record` is the newest
/// known record of this move, if any.
move_record effective_move(const move_config& move, const std::optional<move_record>& record, bool is_vetoed,
                           wall_time wall);

} // namespace lovage
