#include "lovage/core/adoption_wait.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct adoption_wait_case {
    const char* name;
    bool holds_answer;
    // Times before now in ms.
    std::optional<int> home_lost_ago;
    std::optional<int> agent_joined_ago;
    std::optional<int> expected_ms;
};

// Guards against new requests that wait for offers that cannot come, and against a second generation that
// starts before the agents' offers.
TEST_CASE("a home waits for offers only while agents may send them") {
    const auto test = GENERATE(from_range(std::vector<adoption_wait_case>{
        {"new request", false, {}, {}, {}},
        {"with a part of an answer", true, {}, {}, 500},
        {"home just lost", false, 50, {}, 550},
        {"home lost, with a part of an answer", true, 50, {}, 550},
        {"home lost long ago", false, 5'000, {}, {}},
        {"home lost long ago, with a part of an answer", true, 5'000, {}, {}},
        {"an agent has just connected for the first time", false, {}, 20, 80},
        {"agents connected before", false, {}, 5'000, {}},
    }));
    CAPTURE(test.name);
    const time_point now{std::chrono::seconds(100)};
    const auto before = [now](std::optional<int> ago) {
        return ago ? std::optional<time_point>(now - milliseconds(*ago)) : std::nullopt;
    };
    const auto expected =
        test.expected_ms ? std::optional<time_point>(now + milliseconds(*test.expected_ms)) : std::nullopt;
    const auto end =
        adoption_wait_end({test.holds_answer, before(test.home_lost_ago), before(test.agent_joined_ago)},
                          milliseconds(500), now);
    CHECK(end == expected);
}

} // namespace

} // namespace lovage
