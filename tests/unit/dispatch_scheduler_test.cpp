#include "lovage/traffic/dispatch_scheduler.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace lovage {

namespace {

const time_point k_start(std::chrono::seconds(100));

struct scheduler_fixture {
    explicit scheduler_fixture(std::uint32_t slots, std::size_t max_queued = 100) {
        targets = std::make_shared<target_table>(routing_policy::two_choices, "a", 1);
        connect(slots);
        scheduler = std::make_unique<dispatch_scheduler>(targets, max_queued,
                                                         [](const std::function<void()>& wake) { wake(); });
    }

    void connect(std::uint32_t slots) const {
        targets->set_connected("t", 1);
        load_report_message report;
        report.engine_up = true;
        report.slots = slots;
        report.loaded = {{"m", "v1", ""}};
        targets->set_report("t", report, k_start);
    }

    result<std::optional<node_id>> ask(queue_ticket ticket, const std::string& organisation,
                                       bool is_resume = false, std::vector<node_id> excluded = {}) {
        dispatch_request request;
        request.need.excluded = std::move(excluded);
        request.need.model = "m";
        request.need.version = "v1";
        request.need.is_resume = is_resume;
        request.place.ticket = ticket;
        request.place.organisation = organisation;
        request.place.is_resume = is_resume;
        request.place.latest_start = k_start + std::chrono::seconds(60);
        request.wake = [this, ticket] { woken.insert(ticket); };
        return scheduler->acquire(std::move(request), k_start);
    }

    std::shared_ptr<target_table> targets;
    std::unique_ptr<dispatch_scheduler> scheduler;
    std::set<queue_ticket> woken;
};

// Guards against dispatching more than the engine's slots, and against a freed slot that is not granted to a
// queued request.
TEST_CASE("work waits for a free slot and is woken by one") {
    scheduler_fixture fixture(1);
    REQUIRE(*fixture.ask(1, "a") == "t");
    CHECK(*fixture.ask(2, "a") == std::nullopt);
    fixture.scheduler->on_capacity(k_start);
    CHECK(fixture.woken.empty());
    fixture.targets->release("t");
    fixture.scheduler->on_capacity(k_start);
    CHECK(fixture.woken == std::set<queue_ticket>{2});
    CHECK(*fixture.ask(2, "a") == "t");
    CHECK(fixture.scheduler->waiting() == 0);
}

// Guards against a new request that overtakes the queue; only resumes may.
TEST_CASE("a newcomer waits behind the queue, a resume does not") {
    scheduler_fixture fixture(1);
    REQUIRE(*fixture.ask(1, "a") == "t");
    CHECK(*fixture.ask(2, "a") == std::nullopt);
    fixture.targets->release("t");
    CHECK(*fixture.ask(3, "a") == std::nullopt);
    CHECK(*fixture.ask(4, "a", true) == "t");
}

// Guards against a slot that leaks when a request is withdrawn between grant and dispatch.
TEST_CASE("a withdrawn request returns its target") {
    scheduler_fixture fixture(1);
    REQUIRE(*fixture.ask(1, "a") == "t");
    CHECK(*fixture.ask(2, "a") == std::nullopt);
    fixture.targets->release("t");
    fixture.scheduler->on_capacity(k_start);
    fixture.scheduler->withdraw(2);
    CHECK(fixture.scheduler->waiting() == 0);
    CHECK(*fixture.ask(3, "a") == "t");
}

struct refused_case {
    const char* name;
    bool is_resume;
    // Whether a target is free when the request asks again, or only after that.
    bool is_free_when_asked;
};

// Guards against a version that gets no requests any more: its only target refused the first request of the
// queue, and the queue waited for another target although that one took requests again.
TEST_CASE("a request that was refused gets the target after the exclusion has ended") {
    const auto test = GENERATE(from_range(std::vector<refused_case>{
        {"new request, target free", false, true},
        {"new request, target free later", false, false},
        {"resume, target free", true, true},
        {"resume, target free later", true, false},
    }));
    CAPTURE(test.name);
    scheduler_fixture fixture(1);
    CHECK(*fixture.ask(1, "a", test.is_resume, {"t"}) == std::nullopt);
    CHECK(*fixture.ask(2, "a") == std::nullopt);
    fixture.scheduler->on_capacity(k_start);
    CHECK(fixture.woken.empty());
    if (test.is_free_when_asked) {
        CHECK(*fixture.ask(1, "a", test.is_resume) == "t");
    } else {
        fixture.targets->set_connected("t", 0);
        CHECK(*fixture.ask(1, "a", test.is_resume) == std::nullopt);
        fixture.connect(1);
        fixture.scheduler->on_capacity(k_start);
        CHECK(fixture.woken == std::set<queue_ticket>{1});
        CHECK(*fixture.ask(1, "a", test.is_resume) == "t");
    }
    fixture.targets->release("t");
    fixture.scheduler->on_capacity(k_start);
    CHECK(fixture.woken.count(2) == 1);
    CHECK(*fixture.ask(2, "a") == "t");
    CHECK(fixture.scheduler->waiting() == 0);
}

// Guards against starvation of other organisations by one that fills the queue.
TEST_CASE("a full queue refuses the flooding organisation") {
    scheduler_fixture fixture(1, 5);
    REQUIRE(*fixture.ask(1, "large") == "t");
    for (queue_ticket ticket = 2; ticket <= 6; ++ticket) {
        CHECK(*fixture.ask(ticket, "large") == std::nullopt);
    }
    const auto refused = fixture.ask(7, "large");
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind == error_kind::overloaded);
    CHECK(fixture.ask(8, "small").has_value());
    CHECK(fixture.woken == std::set<queue_ticket>{6});
    CHECK_FALSE(fixture.ask(6, "large").has_value());
}

} // namespace

} // namespace lovage
