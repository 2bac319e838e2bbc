#pragma once

#include "lovage/core/peer_report.h"
#include "lovage/core/target_choice.h"
#include "lovage/core/target_record.h"
#include "lovage/core/time.h"
#include "lovage/core/version_split.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

struct gateway_traffic;

/// Returns whether the measured performance of a service's targets decides their share of the load. While it
/// does not, the functions below do nothing.
bool is_learning(const gateway_traffic& traffic, const std::string& service);

/// Records the time factor that a target states, in per cent. The first one of a service may switch learning
/// on for it.
void learn_time_factor(gateway_traffic& traffic, const std::string& service, const target_record& target,
                       double percent);

/// Record the time to the first event of a generation with a prompt of `tokens`, the mean time between events
/// of a stream, and the response time of a plain call, at the present concurrency of the target.
void learn_prefill(gateway_traffic& traffic, const std::string& service, const target_record& target,
                   std::uint64_t tokens, time_point::duration taken);
void learn_gap(gateway_traffic& traffic, const std::string& service, const target_record& target,
               time_point::duration mean_gap);
void learn_response(gateway_traffic& traffic, const std::string& service, const target_record& target,
                    time_point::duration taken);

/// Records an answer to a plain call that says nothing of its target's times, such as a redirect or a client
/// error.
void learn_other_answer(gateway_traffic& traffic, const std::string& service, const target_record& target);

/// Adds the relative times and the concurrency limits to the candidates for a request.
void add_learned(gateway_traffic& traffic, const std::string& service,
                 std::vector<target_candidate>& candidates);

/// Returns the time after which a plain call at a target is late by the target's own usual times, or nothing
/// if that is unknown or no other target can run the call at once.
std::optional<milliseconds> late_call_limit(gateway_traffic& traffic, const std::string& service,
                                            version_side side, const target_record& target);

/// Numbers of targets that are slow (any kind of work takes 1.5 times as long as usual, or more) and that
/// have a concurrency limit.
struct performance_summary {
    std::size_t slow = 0;
    std::size_t limited = 0;
};
performance_summary summarize_performance(gateway_traffic& traffic);

/// Adds what this process has measured lately to a report.
void add_performance(gateway_traffic& traffic, peer_report& report);

/// Applies what a peer has measured, as far as it concerns the present starts of known targets.
void apply_performance(gateway_traffic& traffic, const peer_report& report);

} // namespace lovage
