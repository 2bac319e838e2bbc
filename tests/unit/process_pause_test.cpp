#include "lovage/core/process_pause.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct pause_case {
    const char* name;
    std::vector<int> observed_ms;
    std::uint32_t count;
    std::optional<int> last_end_ms;
    // Whether connections may be missing 900 ms after the last observation.
    bool reconnects;
};

// Guards against a paused entry that does not notice its pause, and against a pause that counts twice because
// several threads notice it.
TEST_CASE("a pause of the process shows in late observations") {
    const auto test = GENERATE(from_range(std::vector<pause_case>{
        {"first observation", {5'000}, 0, {}, false},
        {"regular", {1'000, 1'100, 1'200}, 0, {}, false},
        {"slightly late", {1'000, 1'350}, 0, {}, false},
        {"paused", {1'000, 2'500}, 1, 2'500, true},
        {"noticed by two threads", {1'000, 2'500, 2'501}, 1, 2'500, true},
        {"noticed out of order", {1'000, 2'500, 2'499, 2'600}, 1, 2'500, false},
        {"paused twice", {1'000, 2'500, 2'600, 4'000}, 2, 4'000, true},
    }));
    CAPTURE(test.name);
    process_pauses pauses;
    for (const int ms : test.observed_ms) {
        observe_running(pauses, milliseconds(100), time_point(milliseconds(ms)));
    }
    CHECK(pauses.count == test.count);
    const time_point later{milliseconds(test.observed_ms.back() + 900)};
    CHECK(is_reconnecting(pauses, later) == test.reconnects);
    CHECK(pauses.last_end.has_value() == test.last_end_ms.has_value());
    if (pauses.last_end && test.last_end_ms) {
        CHECK(*pauses.last_end == time_point(milliseconds(*test.last_end_ms)));
    }
}

} // namespace

} // namespace lovage
