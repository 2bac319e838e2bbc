#include "lovage/core/stream_estimate.h"

#include <algorithm>

namespace lovage {

namespace {

// Weight of the newest measurement. Slower readings share their engine with others and count for less, so that
// the estimate stays near the speed of an engine without other work.
constexpr double k_faster_weight = 0.3;
constexpr double k_slower_weight = 0.02;
// Streams often end before the most events that they may have.
constexpr double k_likely_part = 0.6;
// An engine that reads another prompt at the same time takes twice as long; the rest is for the way and a queue.
constexpr double k_patience_factor = 2.2;
constexpr milliseconds k_patience_extra{250};

void learn(double& value, double sample) {
    if (value == 0.0) {
        value = sample;
        return;
    }
    value += (sample < value ? k_faster_weight : k_slower_weight) * (sample - value);
}

double to_ms(time_point::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

time_point::duration from_ms(double ms) {
    return std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

void record_first_event(engine_speed& speed, std::uint64_t prompt_tokens, time_point::duration taken) {
    if (prompt_tokens > 0) {
        learn(speed.read_ms_per_token, to_ms(taken) / static_cast<double>(prompt_tokens));
    }
}

void record_event_gap(engine_speed& speed, time_point::duration gap) {
    learn(speed.event_ms, to_ms(gap));
}

time_point::duration least_time(const engine_speed& speed, const stream_work& work) {
    const double reading = speed.read_ms_per_token * static_cast<double>(work.prompt_tokens);
    const double writing = speed.event_ms * k_likely_part * static_cast<double>(work.events_left);
    return from_ms(reading + writing);
}

time_point::duration first_event_patience(const engine_speed& speed, std::uint64_t prompt_tokens,
                                          time_point::duration longest) {
    if (speed.read_ms_per_token == 0.0) {
        return longest;
    }
    const double reading = speed.read_ms_per_token * static_cast<double>(prompt_tokens);
    return std::min(from_ms(k_patience_factor * reading) + k_patience_extra, longest);
}

} // namespace lovage
