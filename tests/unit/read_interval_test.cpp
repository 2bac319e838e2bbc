#include "lovage/core/read_interval.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct interval_case {
    const char* name;
    std::size_t live_peers;
    freshness_limits limits;
    bool is_reliable;
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
        {"alone", 0, by_keys, true, milliseconds(300)},
        {"one peer", 1, by_keys, true, milliseconds(400)},
        {"three peers", 3, by_keys, true, milliseconds(800)},
        {"drain", 30, by_drain, true, milliseconds(750)},
        {"drain, after a failure", 30, by_drain, false, milliseconds(750)},
        {"config", 30, by_config, true, milliseconds(1'750)},
        {"config, after a failure", 30, by_config, false, milliseconds(1'125)},
        {"keys", 30, by_keys, true, milliseconds(2'500)},
        {"keys, after a failure", 30, by_keys, false, milliseconds(1'250)},
        {"hundreds", 300, by_keys, true, milliseconds(2'500)},
        {"very short", 30, very_short, true, milliseconds(300)},
    }));
    CAPTURE(test.name);
    CHECK(read_interval(test.live_peers, test.limits, test.is_reliable) == test.interval);
}

struct failing_reads_case {
    const char* name;
    freshness_limits limits;
    int failures;
    /// What must not pass before the repetition has succeeded.
    milliseconds limit;
};

// Guards against an interval that meets the limits only as long as each read succeeds.
TEST_CASE("a change is read in time although reads fail") {
    // A read that times out, and the pauses after the first and the second one (`store_position::backoff`).
    constexpr milliseconds k_timeout{1'000};
    constexpr milliseconds k_pauses[] = {milliseconds(100), milliseconds(200)};
    const freshness_limits wide{milliseconds(4'000), milliseconds(4'000), milliseconds(5'000)};
    const freshness_limits narrow{milliseconds(2'000), milliseconds(2'000), milliseconds(5'000)};
    const auto test = GENERATE_COPY(from_range(std::vector<failing_reads_case>{
        {"wide, change, one", wide, 1, milliseconds(4'000)},
        {"wide, keys, two", wide, 2, milliseconds(5'000)},
        {"narrow, change, one", narrow, 1, milliseconds(2'000)},
        {"narrow, keys, two", narrow, 2, milliseconds(5'000)},
    }));
    CAPTURE(test.name);
    auto age = read_interval(300, test.limits, true);
    for (int i = 0; i < test.failures; ++i) {
        age += k_timeout + k_pauses[i];
    }
    CHECK(age + milliseconds(100) < test.limit);
}

struct calls_case {
    const char* name;
    freshness_limits limits;
};

// Guards against a price of calls that grows with the fleet.
TEST_CASE("a process of a large fleet makes at most one call in two seconds where the limits allow it") {
    const auto test = GENERATE(from_range(std::vector<calls_case>{
        {"large", {milliseconds(4'000), milliseconds(4'000), milliseconds(5'000)}},
        {"longer", {milliseconds(8'000), milliseconds(8'000), milliseconds(9'000)}},
    }));
    CAPTURE(test.name);
    CHECK(read_interval(300, test.limits, true) >= milliseconds(2'000));
}

struct pause_case {
    const char* name;
    read_progress progress;
    milliseconds pause;
};

// Guards against a process that ignores a change its peers have seen, and against reads without a pause
// while changes follow each other.
TEST_CASE("a change that a peer has announced brings the next read forward") {
    const freshness_limits limits{milliseconds(4'000), milliseconds(4'000), milliseconds(2'000)};
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
