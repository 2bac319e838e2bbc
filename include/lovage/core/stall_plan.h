#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/stream_stall.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>

namespace lovage {

/// The state of a request as its target reports it in response to a status probe.
enum class run_state : std::uint8_t {
    /// The target did not respond to the probe.
    no_answer,
    /// The target responded, but it does not report on single requests.
    not_told,
    /// The target does not have the request.
    absent,
    /// The target is working but does not list the request: it may be in prefill.
    unlisted,
    /// The target is generating events for the request.
    present,
};
inline constexpr std::size_t k_run_state_count = 5;
inline constexpr enum_names<k_run_state_count> k_run_state_names{"no_answer", "not_told", "absent",
                                                                 "unlisted", "present"};
static_assert(static_cast<std::size_t>(run_state::present) + 1 == k_run_state_count);

/// The result of a status probe.
struct run_status {
    run_state state = run_state::no_answer;
    /// Number of events that the target has generated for the request.
    std::uint64_t events = 0;
};

/// The state of a stream that may have stalled.
struct stall_state {
    /// At least one event has arrived.
    bool has_event = false;
    /// Number of the last event that has arrived.
    std::uint64_t last_event = 0;
    /// Time without an event after which the target is probed.
    milliseconds probe_after{0};
    /// Time without an event after which the stream is abandoned, unless the probe shows that the prompt
    /// waits or is in prefill.
    milliseconds stall_timeout{0};
    /// Time since the last event, or since the start of the attempt; `transfer_silence` of other answers.
    time_point::duration silence{};
    /// The result of the probe since the last event; empty if there was none.
    std::optional<run_status> status;
};

/// What to do about a stream that may have stalled.
enum class stall_step : std::uint8_t {
    wait,
    /// Probe the target for the state of the request.
    ask,
    /// Abandon the stream; another target takes over if possible.
    give_up
};
inline constexpr std::size_t k_stall_step_count = 3;
inline constexpr enum_names<k_stall_step_count> k_stall_step_names{"wait", "ask", "give_up"};

struct stall_decision {
    stall_step step = stall_step::wait;
    /// For `wait` and `ask`, the time without an event after which to decide again.
    milliseconds recheck_at{0};
};

/// How long a stream that prefills its whole prompt may be without its first event.
///
/// Load pattern: engines that crash silently while they prefill, on routes whose objective for the first
/// event is several times a prefill. Limits that are fractions of such an objective leave the stream at a
/// dead engine until its objective can no longer be met.
struct first_event_limits {
    /// Time after which the engine is probed.
    milliseconds probe_after{0};
    /// Time after which the attempt is given up, unless the probe shows that the prompt waits or is in
    /// prefill.
    milliseconds stall_timeout{0};
};

/// What is known about the prefills at a service's engines.
struct prefill_facts {
    /// Measured mean time to the first event; 0 if none was measured.
    milliseconds mean{0};
    /// Engines prefill one prompt at a time, so that the time to the first event is predictable and a late
    /// one calls for an earlier probe.
    bool is_limited = false;
    /// Engines report the state of their runs. Otherwise, one that waits for its prefill cannot be told from
    /// a lost one.
    bool is_reported = false;
};

/// Returns the limits for a route's objective for the first event. A long objective counts as a shorter one
/// only if a run that waits for its prefill can be told from a lost one.
first_event_limits first_event_limits_of(milliseconds objective, const prefill_facts& prefills);

/// Progress of an answer that is no stream.
struct transfer_progress {
    /// Start of the attempt until the head of the answer has arrived, then the arrival of the head.
    time_point started{};
    /// When the last bytes arrived; `started` before the first.
    time_point last{};
    std::uint64_t body_bytes = 0;
};

/// Returns for how long an answer counts as silent: the time since its last bytes or, if longer, the time by
/// which it is behind a transfer at the lowest rate of a sound target.
time_point::duration transfer_silence(const transfer_progress& progress, time_point now);

/// Decides whether to keep waiting for a stream, to probe its target or to abandon it.
stall_decision decide_stall_step(const stall_state& facts);

} // namespace lovage
