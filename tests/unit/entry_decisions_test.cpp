#include "lovage/control/home_change.h"
#include "lovage/control/home_entry.h"
#include "lovage/control/serving_version.h"
#include "lovage/core/admission.h"
#include "lovage/core/not_run.h"
#include "lovage/core/spec_check.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct not_run_case {
    const char* name;
    not_run_conditions facts;
    bool expected;
};

// Guards against reporting a request as not run although it may have run.
TEST_CASE("not run is stated only if no dispatch can exist") {
    const time_point now{std::chrono::seconds(1'000)};
    const auto before = [now](int ms) { return std::optional<time_point>(now - milliseconds(ms)); };
    const auto test = GENERATE_COPY(from_range(std::vector<not_run_case>{
        {"home without a recent change", {true, false, false, false, false, {}, {}}, true},
        {"not the home", {false, false, false, false, false, {}, {}}, false},
        {"fresh id elsewhere", {false, true, false, false, false, before(1), before(1)}, true},
        {"fresh id, dispatched", {true, true, true, false, false, {}, {}}, false},
        {"dispatched", {true, false, true, false, false, {}, {}}, false},
        {"tombstone", {false, false, true, true, true, before(1), before(1)}, true},
        {"claim sent", {true, false, false, true, false, {}, {}}, false},
        {"home changed recently", {true, false, false, false, false, before(9'999), {}}, false},
        {"home changed long before", {true, false, false, false, false, before(10'000), {}}, true},
        {"entry failed recently", {true, false, false, false, false, {}, before(599'999)}, false},
        {"entry failed long before", {true, false, false, false, false, {}, before(600'000)}, true},
    }));
    CAPTURE(test.name);
    CHECK(is_not_run(test.facts, now) == test.expected);
}

struct version_case {
    const char* name;
    move_phase phase;
    double share;
    bool vetoed;
    int deadline_in_s;
    int min_moved;
    int max_moved;
};

// Guards against a bad version that gets more than its share of new answers, and against new answers on the
// new version after the move, its stepwise rollout, was vetoed or missed its deadline.
TEST_CASE("the new version of a move gets its share of new answers") {
    const auto test = GENERATE(from_range(std::vector<version_case>{
        {"loading", move_phase::loading, 0.5, false, 60, 0, 0},
        {"canary", move_phase::canary, 0.02, false, 60, 100, 300},
        {"growing", move_phase::growing, 0.5, false, 60, 4'800, 5'200},
        {"growing to all", move_phase::growing, 1.0, false, 60, 10'000, 10'000},
        {"vetoed", move_phase::growing, 1.0, true, 60, 0, 0},
        {"past its deadline", move_phase::growing, 1.0, false, -1, 0, 0},
        {"landed", move_phase::landed, 0.0, false, -1, 10'000, 10'000},
        {"landed, vetoed later", move_phase::landed, 1.0, true, -1, 0, 0},
        {"reverted", move_phase::reverted, 1.0, false, 60, 0, 0},
    }));
    CAPTURE(test.name);
    const wall_time now{std::chrono::hours(1)};
    fleet_config config;
    config.models = {{"history", "v1", 1}};
    fleet_view view;
    view.config = std::make_shared<fleet_config>(config);
    move_record move;
    move.id = "m";
    move.model = "history";
    move.from = "v1";
    move.to = "v2";
    move.phase = test.phase;
    move.share = test.share;
    move.deadline = now + std::chrono::seconds(test.deadline_in_s);
    view.moves = {move};
    if (test.vetoed) {
        view.vetoed_moves = {"m"};
    }
    int moved = 0;
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        const auto choice = serving_version(view, "history", {i, i}, now);
        CHECK(choice.fallback == "v1");
        CHECK(choice.version == serving_version(view, "history", {i, i}, now).version);
        moved += choice.version == "v2" ? 1 : 0;
    }
    CHECK(moved >= test.min_moved);
    CHECK(moved <= test.max_moved);
    CHECK(serving_version(view, "notes", {1, 1}, now).version.empty());
}

struct home_change_case {
    const char* name;
    bool of_home;
    bool ranks_above;
    bool reported;
};

// Guards against a new answer that starts while an agent still runs the previous one for a failed home entry.
TEST_CASE("a change of the home entry is derived from the members that can have caused it") {
    const auto test = GENERATE(from_range(std::vector<home_change_case>{
        {"the home joined", true, false, true},
        {"an entry ranked above the home failed", false, true, true},
        {"an entry ranked below the home failed", false, false, false},
    }));
    CAPTURE(test.name);
    const time_point changed{std::chrono::seconds(50)};
    const request_id request{3, 4};
    fleet_view view;
    for (const auto* name : {"e1", "e2", "e3"}) {
        member_info member;
        member.node = name;
        member.region = "ub";
        view.members.push_back(member);
    }
    const node_id first = home_entry(view, request, "ub")->node;
    for (auto& member : view.members) {
        const bool is_subject = (member.node == first) == (test.of_home || test.ranks_above);
        if (is_subject) {
            member.state_since = changed;
            member.state = test.of_home ? member_state::alive : member_state::dead;
            member.failed_at = test.of_home ? time_point{} : changed;
        }
    }
    CHECK(home_changed_at(view, request, "ub").has_value() == test.reported);
    CHECK(entry_failed_at(view).has_value() == !test.of_home);
}

struct former_home_case {
    const char* name;
    member_state other;
    bool other_ranks_above;
    int self_joined_s_ago;
    // Time since the end of the last pause of this process; 0 for none.
    int paused_s_ago;
    bool expected;
};

// Guards against a home entry that starts a second generation while the former home still runs the answer.
TEST_CASE("the former home is an entry that is shutting down, or the next in rank after a join") {
    const auto test = GENERATE(from_range(std::vector<former_home_case>{
        {"no recent change", member_state::alive, false, 0, 0, false},
        {"just joined", member_state::alive, false, 10, 0, true},
        {"joined long ago", member_state::alive, false, 600, 0, false},
        {"ranked above and leaving", member_state::leaving, true, 0, 0, true},
        {"ranked below and leaving", member_state::leaving, false, 0, 0, false},
        {"ranked above and dead", member_state::dead, true, 0, 0, false},
        {"joined, other is dead", member_state::dead, false, 10, 0, false},
        {"just paused", member_state::alive, false, 0, 1, true},
        {"paused long ago", member_state::alive, false, 0, 600, false},
        {"paused, other is dead", member_state::dead, false, 0, 1, false},
    }));
    CAPTURE(test.name);
    const time_point now{std::chrono::seconds(10'000)};
    fleet_view view;
    for (const auto* name : {"e1", "e2"}) {
        member_info member;
        member.node = name;
        member.region = "ub";
        view.members.push_back(member);
    }
    request_id request{1, 1};
    while ((home_entry(view, request, "ub")->node == "e2") != test.other_ranks_above) {
        ++request.low;
    }
    view.members[1].state = test.other;
    if (test.self_joined_s_ago > 0) {
        view.members[0].state_since = now - std::chrono::seconds(test.self_joined_s_ago);
    }
    const auto paused_until = test.paused_s_ago > 0
                                  ? std::optional<time_point>(now - std::chrono::seconds(test.paused_s_ago))
                                  : std::nullopt;
    const member_info* former = former_home(view, request, "ub", "e1", paused_until, now);
    CHECK((former != nullptr) == test.expected);
}

struct spec_case {
    const char* name;
    void (*change)(generation_spec&);
    std::optional<error_kind> kind;
};

// Guards against requests that exceed the limits of the configuration.
TEST_CASE("requests are checked against the configuration") {
    const auto test = GENERATE(from_range(std::vector<spec_case>{
        {"unchanged", [](generation_spec&) {}, {}},
        {"no organisation", [](generation_spec& s) { s.organisation = ""; },
         error_kind::unknown_organisation},
        {"other organisation", [](generation_spec& s) { s.organisation = "x"; },
         error_kind::unknown_organisation},
        {"no such service", [](generation_spec& s) { s.service = "x"; }, error_kind::unknown_service},
        {"plain service", [](generation_spec& s) { s.service = "listings"; }, error_kind::unknown_service},
        {"prompt above the limit", [](generation_spec& s) { s.prompt.assign(17, 'p'); },
         error_kind::request_too_large},
        {"prompt at the limit", [](generation_spec& s) { s.prompt.assign(16, 'p'); }, {}},
        {"no tokens", [](generation_spec& s) { s.max_tokens = 0; }, error_kind::invalid_request},
        {"too many tokens", [](generation_spec& s) { s.max_tokens = 11; }, error_kind::invalid_request},
        {"negative temperature", [](generation_spec& s) { s.sampling.temperature = -1; },
         error_kind::invalid_request},
    }));
    CAPTURE(test.name);
    fleet_config config;
    config.organisations.push_back({"dealer", 1.0, "large"});
    service_config generation;
    generation.name = "history";
    generation.model = "m";
    service_config plain;
    plain.name = "listings";
    plain.kind = service_kind::plain;
    config.services = {generation, plain};
    config.limits.max_prompt_bytes = 16;
    config.limits.max_tokens = 10;
    generation_spec spec;
    spec.organisation = "dealer";
    spec.service = "history";
    spec.max_tokens = 10;
    test.change(spec);
    const auto checked = check_spec(config, spec);
    CHECK(checked.has_value() == !test.kind.has_value());
    if (test.kind && !checked) {
        CHECK(checked.error().kind == *test.kind);
    } else {
        CHECK(spec.model == "m");
    }
}

// Guards against an entry that admits more answers than its limit.
TEST_CASE("admission stops at the limit of live answers") {
    CHECK(admit({9, 10}, {}, {}).has_value());
    CHECK(admit({10, 10}, {}, {}).error().kind == error_kind::overloaded);
}

} // namespace

} // namespace lovage
