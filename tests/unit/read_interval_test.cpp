#include "lovage/core/read_interval.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct interval_case {
    const char* name;
    std::size_t live_peers;
    freshness_limits limits;
    milliseconds interval;
};

// Guards against an interval that lets a draining target or a revoked key be used for too long, and against
// the slow detection of a change by a process without peers.
TEST_CASE("the interval between reads grows with the fleet up to the shortest limit") {
    const freshness_limits by_drain{milliseconds(2'000), milliseconds(4'000), milliseconds(9'000)};
    const freshness_limits by_config{milliseconds(4'000), milliseconds(3'000), milliseconds(9'000)};
    const freshness_limits by_keys{milliseconds(4'000), milliseconds(4'000), milliseconds(5'000)};
    const freshness_limits very_short{milliseconds(100), milliseconds(4'000), milliseconds(5'000)};
    const auto test = GENERATE_COPY(from_range(std::vector<interval_case>{
        {"alone", 0, by_keys, milliseconds(300)},
        {"one peer", 1, by_keys, milliseconds(400)},
        {"three peers", 3, by_keys, milliseconds(800)},
        {"drain", 30, by_drain, milliseconds(750)},
        {"config", 30, by_config, milliseconds(1'125)},
        {"keys", 30, by_keys, milliseconds(1'250)},
        {"hundreds", 300, by_keys, milliseconds(1'250)},
        {"very short", 30, very_short, milliseconds(300)},
    }));
    CAPTURE(test.name);
    CHECK(read_interval(test.live_peers, test.limits) == test.interval);
}

struct pause_case {
    const char* name;
    read_progress progress;
    milliseconds pause;
};

// Guards against a process that ignores a change its peers have seen, and against reads without a pause
// while changes follow each other.
TEST_CASE("a change that a peer has announced brings the next read forward") {
    const freshness_limits limits{milliseconds(4'000), milliseconds(4'000), milliseconds(4'000)};
    const auto test = GENERATE_COPY(from_range(std::vector<pause_case>{
        {"just read", {milliseconds(0), 10, 0, 9}, milliseconds(1'000)},
        {"some time ago", {milliseconds(600), 10, 0, 9}, milliseconds(400)},
        {"due", {milliseconds(1'200), 10, 0, 9}, milliseconds(0)},
        {"announced", {milliseconds(600), 10, 11, 9}, milliseconds(0)},
        {"announced, just read", {milliseconds(100), 10, 11, 9}, milliseconds(200)},
        {"announced before the last read", {milliseconds(600), 11, 11, 9}, milliseconds(400)},
        {"peers are gone", {milliseconds(600), 10, 0, 0}, milliseconds(0)},
    }));
    CAPTURE(test.name);
    CHECK(plan_read_pause(test.progress, limits) == test.pause);
}

} // namespace

} // namespace lovage
