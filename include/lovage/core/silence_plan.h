#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/stream_silence.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>

namespace lovage {

/// What a silent target says about a request when it is asked.
enum class run_state : std::uint8_t {
    /// The target has not answered the question.
    no_answer,
    /// The target answers but does not tell about single requests.
    not_told,
    /// The target does not have the request.
    absent,
    /// The target works, but does not list the request: it may be reading the prompt.
    unlisted,
    /// The target makes events for the request.
    present,
};
inline constexpr std::size_t k_run_state_count = 5;
inline constexpr enum_names<k_run_state_count> k_run_state_names{"no_answer", "not_told", "absent",
                                                                 "unlisted", "present"};
static_assert(static_cast<std::size_t>(run_state::present) + 1 == k_run_state_count);

struct run_status {
    run_state state = run_state::no_answer;
    /// Events that the target has made for the request.
    std::uint64_t events = 0;
};

/// A stream that has received nothing for a while.
struct silence_facts {
    bool has_event = false;
    /// Number of the last event that has arrived.
    std::uint64_t last_event = 0;
    /// The silence after which the target is asked, and after which it is given up without a better answer.
    milliseconds ask_after{0};
    milliseconds give_up_after{0};
    time_point::duration silence{};
    /// The answer to the question during this silence.
    std::optional<run_status> status;
};

enum class silence_step : std::uint8_t { wait, ask, give_up };
inline constexpr std::size_t k_silence_step_count = 3;
inline constexpr enum_names<k_silence_step_count> k_silence_step_names{"wait", "ask", "give_up"};

/// What to do, and for `wait` the silence at which to look again.
struct silence_decision {
    silence_step step = silence_step::wait;
    milliseconds look_at{0};
};

silence_decision decide_silence(const silence_facts& facts);

} // namespace lovage
