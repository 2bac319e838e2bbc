#include "lovage/core/silence_plan.h"

#include <algorithm>

namespace lovage {

namespace {

// What a target says is a few hundred milliseconds old, in which it makes this many events at most.
constexpr std::uint64_t k_events_on_the_way = 12;
// A target that reads a prompt is asked again after this time.
constexpr milliseconds k_ask_again{500};

// Whether the target has made events that should have arrived by now.
bool is_answer_lost(const silence_facts& facts) {
    return facts.status->events > facts.last_event + k_events_on_the_way;
}

} // namespace

silence_decision decide_silence(const silence_facts& facts) {
    if (facts.silence < facts.ask_after) {
        return {silence_step::wait, facts.ask_after};
    }
    if (!facts.status) {
        return {silence_step::ask, facts.give_up_after};
    }
    switch (facts.status->state) {
    case run_state::no_answer:
    case run_state::absent:
        return {silence_step::give_up, {}};
    case run_state::unlisted:
        if (facts.has_event) {
            return {silence_step::give_up, {}};
        }
        [[fallthrough]];
    case run_state::present:
        if (is_answer_lost(facts)) {
            return {silence_step::give_up, {}};
        }
        if (!facts.has_event) {
            // The prompt waits or is read; another target would have to read it from its beginning.
            const auto silence = std::chrono::ceil<milliseconds>(facts.silence);
            return {silence_step::wait, silence + k_ask_again};
        }
        break;
    case run_state::not_told:
        break;
    }
    if (facts.silence < facts.give_up_after) {
        return {silence_step::wait, facts.give_up_after};
    }
    return {silence_step::give_up, {}};
}

} // namespace lovage
