#include "lovage/adapters/gateway/one_shot_timer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

constexpr milliseconds k_delay{5};

struct cancel_case {
    const char* name;
    /// What the first of two timers that expire together does with the second one.
    std::function<void(one_shot_timer&, std::vector<std::string>& fired)> action;
    std::vector<std::string> expected;
};

// Guards against a cancelled timer that fires because its expiry was already queued while the thread was held
// up: the action that it was to prevent runs after all.
TEST_CASE("a timer whose expiry is queued does not fire after it was cancelled or started anew") {
    const auto test = GENERATE(from_range(std::vector<cancel_case>{
        {"left alone", [](auto&, auto&) {}, {"first", "second"}},
        {"cancelled", [](auto& second, auto&) { second.cancel(); }, {"first"}},
        {"started anew",
         [](auto& second, auto& fired) { second.start(k_delay, [&fired] { fired.push_back("anew"); }); },
         {"first", "anew"}},
    }));
    CAPTURE(test.name);
    boost::asio::io_context io;
    one_shot_timer first(io.get_executor());
    one_shot_timer second(io.get_executor());
    std::vector<std::string> fired;
    first.start(k_delay, [&] {
        fired.push_back("first");
        test.action(second, fired);
    });
    second.start(k_delay, [&] { fired.push_back("second"); });
    std::this_thread::sleep_for(k_delay * 3);
    io.run_for(k_delay * 20);
    CHECK(fired == test.expected);
}

// Guards against the same for the timers of requests, and against a timer that does not fire because nobody
// keeps its handle.
TEST_CASE("the timer port keeps to a cancellation while expiries are queued") {
    const bool is_cancelled = GENERATE(true, false);
    boost::asio::io_context io;
    const auto timers = make_timer_port(io);
    timer_cancel cancel_second;
    int fired = 0;
    timers.after(k_delay, [&] {
        if (is_cancelled) {
            cancel_second();
        }
    });
    cancel_second = timers.after(k_delay, [&fired] { ++fired; });
    std::this_thread::sleep_for(k_delay * 3);
    io.run_for(k_delay * 20);
    CHECK(fired == (is_cancelled ? 0 : 1));
}

} // namespace

} // namespace lovage
