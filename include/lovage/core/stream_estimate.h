#pragma once

#include "lovage/core/time.h"

#include <cstdint>

namespace lovage {

/// How fast the engines of a service work, as learned from this process's own streams.
struct engine_speed {
    /// Time to read one token of a prompt when the engine reads no other; 0 until it is known.
    double read_ms_per_token = 0.0;
    /// Time between events.
    double event_ms = 0.0;
};

/// Takes the time to a stream's first event, or between two events.
void record_first_event(engine_speed& speed, std::uint64_t prompt_tokens, time_point::duration taken);
void record_event_gap(engine_speed& speed, time_point::duration gap);

/// What a stream still has to do.
struct stream_work {
    std::uint64_t prompt_tokens = 0;
    /// Events until the end, at most.
    std::uint64_t events_left = 0;
};

/// The least time that the stream needs at an engine without other work; 0 while the speed is unknown.
time_point::duration least_time(const engine_speed& speed, const stream_work& work);

/// How long to wait for the first event before another engine is tried; at most `longest`.
time_point::duration first_event_patience(const engine_speed& speed, std::uint64_t prompt_tokens,
                                          time_point::duration longest);

} // namespace lovage
