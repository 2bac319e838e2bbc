#include "lovage/core/attempt_plan.h"
#include "lovage/core/event_splitter.h"
#include "lovage/core/prompt_affinity.h"
#include "lovage/core/retry_window.h"
#include "lovage/core/route_table.h"
#include "lovage/core/shutdown_plan.h"
#include "lovage/core/stall_plan.h"
#include "lovage/core/stream_stall.h"
#include "lovage/core/target_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point(milliseconds(ms));
}

route_table make_table() {
    route_table table;
    for (const char* prefix : {"/a/", "/a/b/", "/"}) {
        route entry;
        entry.name = prefix;
        entry.host = "Host.example";
        entry.prefix = prefix;
        entry.services = {{"s", 1.0}};
        table.routes.push_back(entry);
    }
    table.routes[1].is_public = true;
    table.has_organisations = true;
    table.organisation_by_key["k"] = "org";
    index_routes(table);
    return table;
}

struct route_case {
    const char* host;
    const char* target;
    const char* key;
    access verdict;
    const char* route;
};

// Guards against requests that match the route of another prefix, and against access without a key.
TEST_CASE("the route with the longest matching prefix of the path is chosen") {
    const auto test = GENERATE(from_range(std::vector<route_case>{
        {"host.example", "/a/x", "k", access::allowed, "/a/"},
        {"host.example:80", "/a/b/x?q=/z/", "", access::allowed, "/a/b/"},
        {"HOST.example", "/a/b", "k", access::allowed, "/a/"},
        {"host.example", "/ab/x", "k", access::allowed, "/"},
        {"host.example", "/a/x", "no", access::unknown_key, "/a/"},
        {"other.example", "/a/x", "k", access::unknown_route, ""},
    }));
    CAPTURE(test.host, test.target);
    const auto table = make_table();
    const auto decision = decide_access(table, test.host, test.target, test.key);
    CHECK(decision.verdict == test.verdict);
    CHECK((decision.route != nullptr ? decision.route->name : "") == test.route);
}

struct rank_case {
    const char* key;
    std::int64_t rank;
};

// Guards against an organisation's requests that wait behind less urgent ones of the same route.
TEST_CASE("the organisation's rank goes before the route's") {
    const auto test = GENERATE(from_range(std::vector<rank_case>{{"k", 3}, {"urgent", 0}}));
    auto table = make_table();
    table.routes[0].rank = 3;
    table.organisation_by_key["urgent"] = "urgent org";
    table.rank_by_organisation["urgent org"] = 0;
    CHECK(decide_access(table, "host.example", "/a/x", test.key).rank == test.rank);
}

struct zone_case {
    const char* name;
    std::uint32_t in_flight_near;
    std::uint32_t in_flight_far;
    const char* chosen;
};

// Guards against streams that cross zones without need, since packet loss between zones delays their events.
TEST_CASE("a prompt is placed in the gateway's zone unless the targets there are clearly more loaded") {
    const auto test = GENERATE(from_range(std::vector<zone_case>{
        {"equal", 1, 1, "near"},
        {"one request more", 1, 0, "near"},
        {"two requests more", 2, 0, "far"},
    }));
    CAPTURE(test.name);
    target_record near;
    near.id = "near";
    near.zone = "a";
    target_record far;
    far.id = "far";
    far.zone = "b";
    std::vector<target_candidate> candidates{{&near, {}}, {&far, {}}};
    candidates[0].usage.in_flight = test.in_flight_near;
    candidates[1].usage.in_flight = test.in_flight_far;
    placement want;
    want.zone = "a";
    want.preferred = {"near", "far"};
    std::mt19937_64 random(1);
    const auto chosen = choose_target_for_run(candidates, want, random);
    REQUIRE(chosen);
    CHECK(candidates[*chosen].record->id == test.chosen);
}

struct cached_case {
    const char* name;
    std::vector<prompt_part> cached;
    std::uint64_t tokens;
};

// Guards against counting cached parts that an engine cannot use because an earlier part is not cached.
TEST_CASE("an engine uses the cached parts of a prompt from the first part on") {
    const auto test = GENERATE(from_range(std::vector<cached_case>{
        {"nothing", {}, 0},
        {"all", {{"c", 300}, {"a", 100}, {"b", 200}}, 600},
        {"the first is missing", {{"b", 200}, {"c", 300}}, 0},
        {"one in the middle is missing", {{"a", 100}, {"c", 300}}, 100},
        {"one is kept in part", {{"a", 100}, {"b", 50}, {"c", 300}}, 150},
    }));
    CAPTURE(test.name);
    CHECK(count_cached_tokens({{"a", 100}, {"b", 200}, {"c", 300}}, test.cached) == test.tokens);
}

// Guards against processes that prefer different targets for the same prompt, so that its cache is not used.
TEST_CASE("the preferred targets of a prompt depend on its last part only") {
    std::vector<target_record> records;
    for (int i = 0; i < 30; ++i) {
        target_record record;
        record.id = "t" + std::to_string(i);
        record.zone = i % 3 == 0 ? "a" : "b";
        records.push_back(record);
    }
    std::vector<target_candidate> candidates;
    for (const auto& record : records) {
        candidates.push_back({&record, {}});
    }
    const auto first = preferred_targets(candidates, {{"shared", 1}, {"own", 2}});
    std::reverse(candidates.begin(), candidates.end());
    candidates[3].usage.in_flight = 9;
    CHECK(preferred_targets(candidates, {{"other", 7}, {"own", 2}}) == first);
    CHECK(first.size() == 4);
    CHECK(preferred_targets(candidates, {{"shared", 1}, {"own2", 2}}) != first);
    CHECK(preferred_targets(candidates, {}).empty());
    placement want;
    want.zone = "a";
    want.preferred = first;
    std::mt19937_64 random(1);
    const auto chosen = choose_target_for_run(candidates, want, random);
    REQUIRE(chosen);
    CHECK(std::find(first.begin(), first.end(), candidates[*chosen].record->id) != first.end());
}

struct plan_case {
    const char* name;
    attempt_outcome facts;
    next_step step;
};

attempt_outcome make_facts(attempt_end end, bool repeatable, bool delivered, bool copy, std::uint32_t runs,
                           std::uint32_t max_attempts) {
    attempt_outcome made;
    made.end = end;
    made.is_repeatable = repeatable;
    made.has_delivered = delivered;
    made.has_copy = copy;
    made.runs = runs;
    made.sends = 1;
    made.max_attempts = max_attempts;
    return made;
}

// Guards against a second run of a request that may run only once, and against reporting a request as not run
// although it may have run.
TEST_CASE("the step after an attempt depends on whether the request may have run") {
    const auto test = GENERATE(from_range(std::vector<plan_case>{
        {"refused connection", make_facts(attempt_end::unreachable, false, false, false, 0, 1),
         next_step::send_again},
        {"refused by the target", make_facts(attempt_end::not_run, false, false, false, 0, 1),
         next_step::send_again},
        {"target's own failure, no attempt left",
         make_facts(attempt_end::failed_answer, true, false, false, 2, 2), next_step::pass_failure},
        {"target's own failure, one attempt left",
         make_facts(attempt_end::failed_answer, true, false, false, 1, 2), next_step::send_again},
        {"lost, may not run again", make_facts(attempt_end::broken, false, false, false, 1, 5),
         next_step::answer_unknown},
        {"stream with a copy", make_facts(attempt_end::broken, true, true, true, 1, 5),
         next_step::resume_from_copy},
        {"resuming from a copy counts as the same run",
         make_facts(attempt_end::broken, true, true, true, 1, 1), next_step::resume_from_copy},
        {"stream without a copy", make_facts(attempt_end::silent, true, true, false, 1, 5),
         next_step::send_again},
        {"stream that may not be resumed", make_facts(attempt_end::broken, false, true, false, 1, 5),
         next_step::break_off},
    }));
    CAPTURE(test.name);
    CHECK(plan_next_step(test.facts) == test.step);
    auto no_budget = test.facts;
    no_budget.has_budget = false;
    const auto step = plan_next_step(no_budget);
    CHECK((step != next_step::send_again && step != next_step::resume_from_copy));
}

struct stall_case {
    const char* name;
    bool has_event;
    std::int64_t silence_ms;
    std::optional<run_status> status;
    stall_step step;
};

// Guards against a repeated prefill because an engine is busy, and against waiting for a response that
// was lost.
TEST_CASE("a silent engine is probed before its stream is abandoned") {
    const auto test = GENERATE(from_range(std::vector<stall_case>{
        {"short silence", true, 200, std::nullopt, stall_step::wait},
        {"ask", true, 260, std::nullopt, stall_step::ask},
        {"no answer to the probe", true, 360, run_status{run_state::no_answer, 0}, stall_step::give_up},
        {"not known to the target", false, 260, run_status{run_state::absent, 0}, stall_step::give_up},
        {"prefill of the prompt", false, 3'000, run_status{run_state::unlisted, 0}, stall_step::wait},
        {"ended at the target", true, 260, run_status{run_state::unlisted, 0}, stall_step::give_up},
        {"busy", true, 260, run_status{run_state::present, 12}, stall_step::wait},
        {"busy for too long", true, 400, run_status{run_state::present, 12}, stall_step::give_up},
        {"events of the answer lost", false, 260, run_status{run_state::present, 90}, stall_step::give_up},
        {"request state not reported, early", true, 260, run_status{run_state::not_told, 0},
         stall_step::wait},
        {"request state not reported, late", true, 360, run_status{run_state::not_told, 0},
         stall_step::give_up},
    }));
    CAPTURE(test.name);
    stall_state made;
    made.has_event = test.has_event;
    made.last_event = test.has_event ? 10 : 0;
    made.probe_after = milliseconds(250);
    made.stall_timeout = milliseconds(350);
    made.silence = milliseconds(test.silence_ms);
    made.status = test.status;
    CHECK(decide_stall_step(made).step == test.step);
}

// Guards against treating the long gaps of a busy engine as a loss, and against detecting a loss too
// late.
TEST_CASE("the silence before a stream counts as stalled follows its mean gap within bounds") {
    struct pace_case {
        double gap_ms;
        std::int64_t longest_gap_ms;
        std::int64_t limit_ms;
    };
    const auto test = GENERATE(from_range(
        std::vector<pace_case>{{30.0, 700, 350}, {200.0, 700, 385}, {30.0, 0, 350}, {200.0, 0, 1'000}}));
    stream_timing timing;
    for (int i = 1; i <= 50; ++i) {
        record_event(timing, at_ms(static_cast<std::int64_t>(i * test.gap_ms)));
    }
    CHECK(stream_stall_timeout(timing, milliseconds(test.longest_gap_ms)) == milliseconds(test.limit_ms));
}

// Guards against truncated events that are forwarded when the connection to a target is lost.
TEST_CASE("the splitter emits only whole events") {
    const std::string stream = "id: 7\ndata: a\n\n: note\n\nid:8\ndata: b\n\nid: 9\ndat";
    const auto step = GENERATE(1U, 3U, 1'000U);
    event_splitter splitter;
    std::string out;
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < stream.size(); i += step) {
        split_events(splitter, std::string_view(stream).substr(i, step), [&](const stream_event& event) {
            out.append(event.text);
            ids.emplace_back(event.id);
        });
    }
    CHECK(out == stream.substr(0, stream.find("id: 9")));
    CHECK(ids == std::vector<std::string>{"7", "", "8"});
    CHECK(splitter.partial == "id: 9\ndat");
}

struct endless_case {
    const char* name;
    std::string block;
    std::size_t blocks;
    bool is_accepted;
};

// Guards against a target whose bytes never end an event: they filled the memory, and each block was searched
// from the start.
TEST_CASE("an event without an end is bounded") {
    const auto test = GENERATE(from_range(std::vector<endless_case>{
        {"large event", "data: " + std::string(200'000, 'x'), 1, true},
        {"no end of line", std::string(16'384, 'x'), 17, false},
        {"lines without an end of event", std::string(8'192, 'x') + "\n", 33, false},
        {"many small events", "id: 1\ndata: x\n\n", 40'000, true},
    }));
    CAPTURE(test.name);
    event_splitter splitter;
    bool is_accepted = true;
    for (std::size_t i = 0; i < test.blocks && is_accepted; ++i) {
        is_accepted = split_events(splitter, test.block, [](const stream_event&) {});
    }
    CHECK(is_accepted == test.is_accepted);
    CHECK(splitter.partial.size() <= k_max_event_bytes + test.block.size());
}

struct comment_case {
    std::string event;
    bool is_comment;
};

TEST_CASE("a comment is told from an event") {
    const auto test = GENERATE(from_range(std::vector<comment_case>{{": note\n\n", true},
                                                                    {":\n:\n\n", true},
                                                                    {": note\ndata: a\n\n", false},
                                                                    {"id: 1\ndata: a\n\n", false},
                                                                    {"data: :\n\n", false}}));
    CAPTURE(test.event);
    event_splitter splitter;
    std::vector<bool> seen;
    split_events(splitter, test.event,
                 [&seen](const stream_event& event) { seen.push_back(event.is_comment); });
    CHECK(seen == std::vector<bool>{test.is_comment});
}

// Guards against retries of one process that exhaust the retry budget of all processes.
TEST_CASE("retries stay within the budget of the window") {
    retry_window window;
    const retry_window_limits limits{0.5, 3.0, milliseconds(10'000)};
    for (int i = 0; i < 10; ++i) {
        record_first_send(window, limits, at_ms(i));
    }
    int retries = 0;
    while (try_spend_retry(window, limits, at_ms(100))) {
        ++retries;
    }
    CHECK(retries == 8);
    CHECK_FALSE(can_spend_retry(window, limits, at_ms(9'000)));
    CHECK(can_spend_retry(window, limits, at_ms(12'000)));
}

struct choice_case {
    const char* name;
    std::vector<target_usage> usage;
    std::vector<std::string> zones;
    placement want;
    std::size_t chosen;
};

target_usage make_usage(std::uint32_t in_flight) {
    target_usage usage;
    usage.in_flight = in_flight;
    return usage;
}

target_usage make_failed_usage() {
    target_usage usage;
    record_target_failure(usage, target_failure_kind::unreachable, at_ms(1'000));
    return usage;
}

placement make_placement(std::string zone, std::vector<std::string> excluded,
                         std::vector<std::string> failing) {
    placement want;
    want.zone = std::move(zone);
    want.excluded = std::move(excluded);
    want.failing_zones = std::move(failing);
    want.now = at_ms(1'001);
    return want;
}

// Guards against requests that go to loaded, failed or excluded targets while others are free.
TEST_CASE("the least loaded healthy target is chosen") {
    const auto test = GENERATE(from_range(std::vector<choice_case>{
        {"less loaded", {make_usage(3), make_usage(0)}, {"a", "b"}, make_placement("a", {}, {}), 1},
        {"same zone", {make_usage(0), make_usage(0)}, {"a", "b"}, make_placement("b", {}, {}), 1},
        {"failed recently", {make_failed_usage(), make_usage(9)}, {"a", "a"}, make_placement("a", {}, {}), 1},
        {"excluded", {make_usage(0), make_usage(9)}, {"a", "a"}, make_placement("a", {"t0"}, {}), 1},
        {"failing zone", {make_usage(0), make_usage(4)}, {"a", "b"}, make_placement("a", {}, {"a"}), 1},
    }));
    CAPTURE(test.name);
    std::vector<target_record> records(test.usage.size());
    std::vector<target_candidate> candidates;
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].id = "t" + std::to_string(i);
        records[i].zone = test.zones[i];
        candidates.push_back({&records[i], test.usage[i]});
    }
    std::mt19937_64 random(1);
    CHECK(choose_target_for_run(candidates, test.want, random) == test.chosen);
}

// Guards against a standby copy in the same zone as its generation, so that both are lost with the zone.
TEST_CASE("a standby copy is placed in another zone if there is one") {
    const bool has_other_zone = GENERATE(true, false);
    std::vector<target_record> records(2);
    records[0].id = "same";
    records[0].zone = "a";
    records[1].id = "other";
    records[1].zone = has_other_zone ? "b" : "a";
    const std::vector<target_candidate> candidates{{&records[0], make_usage(0)},
                                                   {&records[1], make_usage(5)}};
    placement want;
    want.zone = "a";
    want.avoided_zone = "a";
    std::mt19937_64 random(1);
    CHECK(choose_target_for_copy(candidates, want, random) == (has_other_zone ? 1U : 0U));
}

// Guards against a shutdown that ends requests too early, and against one that lasts until the kill.
TEST_CASE("a graceful shutdown goes through its phases after the stop signal") {
    struct phase_case {
        std::int64_t since_ms;
        std::size_t requests;
        shutdown_phase phase;
        std::size_t connections = 0;
        bool is_listening = false;
    };
    const auto test =
        GENERATE(from_range(std::vector<phase_case>{{0, 0, shutdown_phase::leaving},
                                                    {2'900, 0, shutdown_phase::leaving},
                                                    {3'000, 0, shutdown_phase::stopped},
                                                    {2'900, 0, shutdown_phase::leaving, 2},
                                                    {3'000, 0, shutdown_phase::closing, 2},
                                                    {3'000, 1, shutdown_phase::leaving, 2},
                                                    {7'700, 0, shutdown_phase::stopped, 2},
                                                    {6'000, 4, shutdown_phase::leaving},
                                                    {6'800, 4, shutdown_phase::closing},
                                                    {7'690, 4, shutdown_phase::closing},
                                                    {7'700, 4, shutdown_phase::ending},
                                                    {7'890, 4, shutdown_phase::ending},
                                                    {7'900, 4, shutdown_phase::stopped},
                                                    {3'000, 0, shutdown_phase::closing, 0, true},
                                                    {7'700, 0, shutdown_phase::stopped, 0, true}}));
    CAPTURE(test.since_ms);
    CHECK(plan_shutdown({milliseconds(test.since_ms), milliseconds(8'000), test.requests, test.connections,
                         test.is_listening}) == test.phase);
}

// Guards against a process that waits past a change of phase, or that spins because its next check is due.
TEST_CASE("the next check of a graceful shutdown is at the next change of phase") {
    struct check_case {
        std::int64_t since_ms;
        std::int64_t grace_ms;
        std::int64_t next_ms;
    };
    const auto test = GENERATE(from_range(std::vector<check_case>{{0, 8'000, 3'000},
                                                                  {2'999, 8'000, 3'000},
                                                                  {3'000, 8'000, 6'700},
                                                                  {6'700, 8'000, 7'700},
                                                                  {7'700, 8'000, 7'900},
                                                                  {0, 3'200, 1'900},
                                                                  {1'900, 3'200, 2'900},
                                                                  {0, 1'000, 700},
                                                                  {0, 200, 100}}));
    CAPTURE(test.since_ms, test.grace_ms);
    shutdown_progress progress;
    progress.since_stop_request = milliseconds(test.since_ms);
    progress.grace = milliseconds(test.grace_ms);
    progress.requests = 1;
    CHECK(next_shutdown_check(progress) == milliseconds(test.next_ms));
    CHECK(next_shutdown_check(progress) > progress.since_stop_request);
}

// Guards against requests that a process takes late in its grace period and cuts at its end.
TEST_CASE("a request that arrives during a shutdown starts only if it gets its final answer") {
    struct late_case {
        std::int64_t since_ms;
        std::int64_t usual_ms;
        std::int64_t longest_ms;
        bool may_start;
    };
    const auto test = GENERATE(from_range(std::vector<late_case>{{0, 0, 25'000, true},
                                                                 {0, 5'900, 25'000, true},
                                                                 {0, 6'000, 25'000, false},
                                                                 {3'000, 0, 25'000, true},
                                                                 {3'001, 0, 25'000, false},
                                                                 {3'001, 1'000, 25'000, false},
                                                                 {3'001, 1'000, 4'600, true},
                                                                 {6'500, 0, 1'200, true},
                                                                 {6'500, 0, 1'201, false}}));
    CAPTURE(test.since_ms, test.usual_ms, test.longest_ms);
    CHECK(may_start_late({milliseconds(test.since_ms), milliseconds(8'000), milliseconds(test.usual_ms),
                          milliseconds(test.longest_ms)}) == test.may_start);
}

} // namespace

} // namespace lovage
