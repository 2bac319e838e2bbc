#include "lovage/core/prompt_quarantine.h"

#include <catch2/catch.hpp>

namespace lovage {

namespace {

using parts_list = std::vector<std::string>;

constexpr time_point k_start{std::chrono::seconds(1'000)};

// A crash, or a success if `is_success`, `at` ms after the start.
struct step {
    int at_ms;
    parts_list parts;
    bool is_success = false;
};

struct quarantine_case {
    const char* name;
    std::vector<step> steps;
    parts_list prompt;
    parts_list quarantined;
};

void apply_steps(prompt_quarantine& quarantine, const std::vector<step>& steps) {
    std::uint64_t id = 0;
    for (const auto& each : steps) {
        const auto at = k_start + milliseconds(each.at_ms);
        if (each.is_success) {
            record_successes(quarantine, each.parts, at);
        } else {
            ++id;
            record_crash(quarantine, {id, "service", "t" + std::to_string(id), each.parts, at}, at);
        }
    }
}

prompt_quarantine play(const std::vector<step>& steps) {
    prompt_quarantine quarantine;
    apply_steps(quarantine, steps);
    return quarantine;
}

// Guards against a prompt part that crashes one engine after the other, and against refusing sound prompts
// that share other parts with it or were only at engines that crashed for other reasons.
TEST_CASE("parts that crash their engines are quarantined") {
    const auto test = GENERATE(from_range(std::vector<quarantine_case>{
        {"two crashes", {{0, {"a", "x"}}, {800, {"a", "x"}}}, {"a", "x"}, {}},
        {"three crashes", {{0, {"a", "x"}}, {800, {"a", "x"}}, {1'600, {"a", "x"}}}, {"a", "x"}, {"a", "x"}},
        {"sound prompt with one of the parts",
         {{0, {"a", "x"}}, {800, {"a", "x"}}, {1'600, {"a", "x"}}},
         {"a", "y"},
         {}},
        {"other parts differ", {{0, {"a", "x"}}, {800, {"b", "x"}}, {1'600, {"a", "x"}}}, {"c", "x"}, {"x"}},
        {"the other part succeeds later",
         {{0, {"a", "x"}}, {800, {"a", "x"}}, {900, {"a"}, true}, {1'600, {"a", "x"}}},
         {"b", "x"},
         {"x"}},
        {"all parts succeed in between",
         {{0, {"a", "x"}}, {800, {"a", "x"}}, {900, {"a", "x"}, true}, {1'600, {"a", "x"}}},
         {"a", "x"},
         {}},
        {"a success lifts it", {{0, {"x"}}, {800, {"x"}}, {1'600, {"x"}}, {1'700, {"x"}, true}}, {"x"}, {}},
        {"many engines lost at one moment",
         {{0, {"x"}}, {10, {"x"}}, {20, {"x"}}, {300, {"x"}}, {400, {"x"}}},
         {"x"},
         {}},
        {"a part that has succeeded before is suspected last",
         {{-900, {"a"}, true}, {0, {"a", "x"}}, {800, {"a", "x"}}, {1'600, {"a", "x"}}},
         {"b", "x"},
         {"x"}},
        {"crashes of other prompts with it do not count against it",
         {{-900, {"a"}, true}, {0, {"a", "x"}}, {800, {"a", "x"}}, {1'600, {"a", "x"}}, {2'400, {"a", "y"}}},
         {"a", "z"},
         {}},
        {"a part that has succeeded before and crashes alone",
         {{-900, {"x"}, true}, {0, {"x"}}, {800, {"x"}}, {1'600, {"x"}}},
         {"x"},
         {"x"}},
        {"a part that has succeeded before and crashes beside new ones",
         {{-900, {"x"}, true}, {0, {"x", "a"}}, {800, {"x", "b"}}, {1'600, {"x", "c"}}, {2'400, {"x", "d"}}},
         {"x"},
         {}},
        {"the same, once more",
         {{-900, {"x"}, true},
          {0, {"x", "a"}},
          {800, {"x", "b"}},
          {1'600, {"x", "c"}},
          {2'400, {"x", "d"}},
          {3'200, {"x", "e"}}},
         {"x"},
         {"x"}},
        {"a prompt without shared parts", {{0, {}}, {800, {}}, {1'600, {}}}, {}, {}},
    }));
    CAPTURE(test.name);
    const auto quarantine = play(test.steps);
    CHECK(quarantined_parts(quarantine, "service", test.prompt) == test.quarantined);
    CHECK(quarantined_parts(quarantine, "other service", test.prompt).empty());
}

struct restored_case {
    const char* name;
    std::vector<quarantine_record> records;
    std::vector<step> steps;
    parts_list prompt;
    parts_list quarantined;
};

// Guards against a fleet that loses its engines to the same prompts again after a restart of all processes,
// and against a stored quarantine that a success cannot lift.
TEST_CASE("a stored quarantine is in force like a learned one") {
    const auto test = GENERATE(from_range(std::vector<restored_case>{
        {"all parts", {{"service", {"a", "x"}}}, {}, {"a", "x", "y"}, {"a", "x"}},
        {"some of the parts", {{"service", {"a", "x"}}}, {}, {"a", "y"}, {}},
        {"another service", {{"other", {"a", "x"}}}, {}, {"a", "x"}, {}},
        {"twice", {{"service", {"x"}}, {"service", {"x"}}}, {}, {"x"}, {"x"}},
        {"one crash narrows it", {{"service", {"a", "x"}}}, {{800, {"b", "x"}}}, {"b", "x"}, {"x"}},
        {"a sound part", {{"service", {"a", "x"}}}, {{800, {"a"}, true}}, {"b", "x"}, {"x"}},
        {"a success lifts it", {{"service", {"x"}}}, {{800, {"x"}, true}}, {"x"}, {}},
    }));
    CAPTURE(test.name);
    prompt_quarantine quarantine;
    for (const auto& record : test.records) {
        restore_quarantine(quarantine, record, k_start);
    }
    CHECK(quarantine.crashes.size() == k_crashes_to_quarantine);
    apply_steps(quarantine, test.steps);
    CHECK(quarantined_parts(quarantine, "service", test.prompt) == test.quarantined);
}

// Guards against counting a crash again that arrives in several reports, and against lists without a bound.
TEST_CASE("crashes of other processes count once") {
    prompt_quarantine quarantine;
    const prompt_crash crash{7, "service", "t1", {"x"}, k_start};
    CHECK(record_crash(quarantine, crash, k_start));
    for (int i = 1; i < 5; ++i) {
        auto again = crash;
        again.at += milliseconds(i * 700);
        CHECK_FALSE(record_crash(quarantine, again, k_start + milliseconds(i * 700)));
    }
    CHECK(quarantined_parts(quarantine, "service", {"x"}).empty());

    struct limit_case {
        std::uint64_t crashes;
        std::size_t remembered;
    };
    const auto test = GENERATE(from_range(std::vector<limit_case>{{10, 11}, {1'000, k_max_crashes}}));
    for (std::uint64_t i = 0; i < test.crashes; ++i) {
        record_crash(quarantine, {100 + i, "service", "t", {"y" + std::to_string(i)}, k_start}, k_start);
    }
    CHECK(quarantine.crashes.size() == test.remembered);
}

// Guards against a quarantine that never ends, and against one that ends before the prompts stop coming.
TEST_CASE("a quarantine is remembered for a limited time") {
    struct age_case {
        milliseconds age;
        bool is_quarantined;
    };
    const auto test = GENERATE(from_range(std::vector<age_case>{
        {milliseconds(60'000), true}, {k_crash_retention + milliseconds(2'000), false}}));
    auto quarantine = play({{0, {"x"}}, {800, {"x"}}, {1'600, {"x"}}});
    const auto now = k_start + test.age;
    record_crash(quarantine, {99, "service", "t99", {"other"}, now}, now);
    CHECK(quarantined_parts(quarantine, "service", {"x"}).empty() != test.is_quarantined);
}

// Guards against memory that grows with the number of prompts, and against a sound part that is suspected
// because its success was dropped while its crash is remembered.
TEST_CASE("successes are remembered for a limited number of parts") {
    auto quarantine = play({{0, {"x"}}});
    record_successes(quarantine, {"x"}, k_start);
    for (std::size_t i = 0; i < 4 * k_max_proven_parts; ++i) {
        record_successes(quarantine, {"p" + std::to_string(i)}, k_start + milliseconds(i));
    }
    CHECK(quarantine.successes.size() <= k_max_proven_parts + 1);
    CHECK(quarantine.successes.count("x") == 1);
}

// Guards against old crashes that reports never mention, so that a new process does not learn of them.
TEST_CASE("reports mention the newest crashes and the others in turn") {
    std::vector<step> steps;
    for (int i = 0; i < 20; ++i) {
        steps.push_back({i * 10, {"p" + std::to_string(i)}});
    }
    auto quarantine = play(steps);
    std::vector<bool> mentioned(21, false);
    for (int i = 0; i < 5; ++i) {
        const auto report = crashes_to_report(quarantine, 8);
        CHECK(report.size() == 8);
        CHECK(report[3].id == 20);
        for (const auto& crash : report) {
            mentioned[crash.id] = true;
        }
    }
    CHECK(std::count(mentioned.begin(), mentioned.end(), true) == 20);
}

} // namespace

} // namespace lovage
