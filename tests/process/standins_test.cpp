#include "process/child_process.h"

#include "lovage/adapters/http_client.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lovage::testing {

namespace {

using arguments = std::vector<std::string>;
using nlohmann::json;

std::unique_ptr<child_process> start_fake(const std::string& binary, const std::string& address,
                                          const arguments& settings) {
    arguments list{"--set", "address=\"" + address + "\""};
    for (const auto& setting : settings) {
        list.insert(list.end(), {"--set", setting});
    }
    auto started = child_process::start(binary, list, binary + "-" + address);
    REQUIRE(started);
    REQUIRE(wait_until_ok("http://" + address + "/healthz"));
    return std::move(*started);
}

// Starts a fake engine that takes 2 ms per token.
std::unique_ptr<child_process> start_engine(const std::string& address, const arguments& settings) {
    arguments all{"loaded=[\"history/v1\"]", "step_base_us=2000", "step_per_sequence_us=0",
                  "queue_limit=100"};
    all.insert(all.end(), settings.begin(), settings.end());
    return start_fake("lovage-fake-engine", address, all);
}

struct load_result {
    int exit_code = -1;
    json report;
};

load_result run_load(const arguments& options) {
    auto started = child_process::start("lovage-load", options, "load-" + std::to_string(free_port()));
    REQUIRE(started);
    const auto exit_code = (*started)->wait_for_exit(milliseconds(30'000));
    REQUIRE(exit_code);
    CAPTURE((*started)->log_text());
    return {*exit_code, json::parse((*started)->log_text())};
}

constexpr int k_exit_correct = 0;
constexpr int k_exit_wrong_answers = 1;
constexpr int k_exit_incomplete = 3;

struct engine_case {
    const char* name;
    arguments settings;
    arguments options;
    int exit_code;
    /// JSON pointer to a counter of the report that must not be 0; empty for none.
    const char* counter;
};

struct length_case {
    const char* name;
    arguments options;
    std::uint64_t least_requests;
    std::uint64_t most_requests;
};

} // namespace

// Guards against a load that ends after its first 100 requests although it was started for a time: the faults
// and moves that follow then meet no traffic.
TEST_CASE("a load lasts as long as its number of requests and its duration say") {
    // The rate yields 300 requests on average.
    const auto test = GENERATE(from_range(std::vector<length_case>{
        {"nothing given", {}, 100, 100},
        {"number", {"-n", "150"}, 150, 150},
        {"duration", {"--rate", "200", "--duration-ms", "1500"}, 200, 500},
        {"duration in the closed loop", {"-c", "20", "--duration-ms", "1500"}, 300, 20'000},
        {"no number, duration", {"-n", "0", "--rate", "200", "--duration-ms", "1500"}, 200, 500},
        {"number before duration", {"-n", "50", "--rate", "200", "--duration-ms", "10000"}, 50, 50},
        {"100 before duration", {"-n", "100", "--rate", "200", "--duration-ms", "10000"}, 100, 100},
    }));
    CAPTURE(test.name);
    const auto address = free_address();
    const auto engine = start_engine(address, {"slots=100"});
    arguments options{"--direct-engine", "--entry", address, "-t", "3", "-c", "100", "--require-completion"};
    options.insert(options.end(), test.options.begin(), test.options.end());
    const load_result load = run_load(options);
    CAPTURE(load.report.dump());
    CHECK(load.exit_code == k_exit_correct);
    CHECK(load.report["requests"] >= test.least_requests);
    CHECK(load.report["requests"] <= test.most_requests);
}

// Guards against a load generator that does not detect wrong answers of an engine, or that reports answers as
// wrong or incomplete although a retry completed them.
TEST_CASE("the load generator distinguishes wrong answers from interrupted ones") {
    const auto test = GENERATE(from_range(std::vector<engine_case>{
        {"no fault", {}, {}, k_exit_correct, ""},
        {"prompts that stop early", {}, {"--stop-share", "1"}, k_exit_correct, ""},
        {"open loop", {}, {"--rate", "200", "-c", "100"}, k_exit_correct, ""},
        {"stream ends early",
         {"faults.stream.kind=\"end\"", "faults.stream.at=5", "faults.stream.streams=3"},
         {},
         k_exit_correct,
         "/retries/lost_connection"},
        {"stream stalls",
         {"faults.stream.kind=\"stall\"", "faults.stream.at=5", "faults.stream.streams=3"},
         {},
         k_exit_correct,
         "/retries/silence"},
        {"token repeated",
         {"faults.stream.kind=\"repeat\"", "faults.stream.at=5", "faults.stream.streams=3"},
         {},
         k_exit_wrong_answers,
         "/violations/repeated"},
        {"token left out",
         {"faults.stream.kind=\"skip\"", "faults.stream.at=5", "faults.stream.streams=3"},
         {},
         k_exit_wrong_answers,
         "/violations/missing"},
        {"truncating version",
         {"bad_versions=[\"v1\"]", "bad_version.v1.fault=\"truncation\""},
         {},
         k_exit_wrong_answers,
         "/violations/wrong_end"},
        {"failing version",
         {"bad_versions=[\"v1\"]", "bad_version.v1.fault=\"error\"", "bad_version.v1.share=0.5"},
         {},
         k_exit_correct,
         "/retries/error_answer"},
        {"version that fails on another route",
         {"bad_versions=[\"v1\"]", "bad_version.v1.fault=\"error\"", "bad_version.v1.route=\"other\""},
         {},
         k_exit_correct,
         ""},
        {"version that fails on this route",
         {"bad_versions=[\"v1\"]", "bad_version.v1.fault=\"error\"",
          "bad_version.v1.route=\"history-summaries\""},
         {"--max-attempts", "3"},
         k_exit_incomplete,
         "/outcomes/failed"},
        {"version that fails under load",
         {"bad_versions=[\"v1\"]", "bad_version.v1.fault=\"error\"", "bad_version.v1.min_running=3"},
         {},
         k_exit_correct,
         "/retries/error_answer"},
        {"engine that refuses",
         {"faults.refuse=true"},
         {"--keep-refusals"},
         k_exit_incomplete,
         "/outcomes/refused_not_run"},
    }));
    CAPTURE(test.name);
    const auto address = free_address();
    const auto engine = start_engine(address, test.settings);
    arguments options{"--direct-engine",
                      "--entry",
                      address,
                      "-n",
                      "30",
                      "-c",
                      "10",
                      "-t",
                      "20",
                      "--silence-ms",
                      "300",
                      "--give-up-ms",
                      "10000",
                      "--require-completion"};
    options.insert(options.end(), test.options.begin(), test.options.end());
    const load_result load = run_load(options);
    CAPTURE(load.report.dump());
    CHECK(load.exit_code == test.exit_code);
    CHECK(load.report["requests"] == 30);
    if (*test.counter != '\0') {
        CHECK(load.report[json::json_pointer(test.counter)] > 0);
    }
}

// Guards against an engine that starts over when it resumes the generation of a crashed engine.
TEST_CASE("generations of an engine that dies are completed by another one") {
    const auto first = free_address();
    const auto second = free_address();
    const auto dying = start_engine(first, {"faults.die_after_tokens=100"});
    const auto survivor = start_engine(second, {});
    const load_result load = run_load({"--direct-engine", "--entry", first, "--entry", second, "-n", "20",
                                       "-c", "10", "-t", "40", "--require-completion"});
    CAPTURE(load.report.dump());
    CHECK(load.exit_code == k_exit_correct);
    CHECK(load.report["retries"]["lost_connection"] > 0);
    CHECK(load.report["tokens"] == 20 * 40);
    CHECK(dying->wait_for_exit(milliseconds(1'000)) == 128 + SIGKILL);
}

struct call_case {
    const char* name;
    arguments settings;
    const char* mode;
    int exit_code;
    std::uint64_t ran_twice;
};

// Guards against calls that ran twice and are not reported, and against false reports of such calls.
TEST_CASE("the ledger shows calls that a retry ran twice") {
    const auto test = GENERATE(from_range(std::vector<call_case>{
        {"no fault", {}, "direct-post", k_exit_correct, 0},
        {"answers lost",
         {"faults.kind=\"lose_answer\"", "faults.calls=4"},
         "direct-post",
         k_exit_wrong_answers,
         4},
        {"error after the call ran",
         {"faults.kind=\"error_after\"", "faults.calls=4"},
         "direct-post",
         k_exit_wrong_answers,
         4},
        {"error before the call ran",
         {"faults.kind=\"error_before\"", "faults.calls=4"},
         "direct-post",
         k_exit_correct,
         0},
        {"no answer", {"faults.kind=\"stall\"", "faults.calls=4"}, "direct-post", k_exit_wrong_answers, 4},
        {"other calls fail",
         {"faults.kind=\"lose_answer\"", "faults.match=\"POST /lodgements\""},
         "direct-post",
         k_exit_correct,
         0},
    }));
    CAPTURE(test.name);
    const auto address = free_address();
    const auto service = start_fake("lovage-fake-service", address, test.settings);
    const load_result load = run_load({"-m", test.mode, "--entry", address, "--ledger", address, "-n", "30",
                                       "-c", "5", "--silence-ms", "300", "--ledger-wait-ms", "0"});
    CAPTURE(load.report.dump());
    CHECK(load.exit_code == test.exit_code);
    CHECK(load.report["ledger"]["ran_twice"] == test.ran_twice);
    CHECK(load.report["outcomes"]["complete"] == 30);
}

struct proxy_case {
    const char* name;
    const char* rules;
    int exit_code;
    const char* counter;
};

// Guards against a fault proxy that does not apply its rules or corrupts the bytes that it forwards.
TEST_CASE("the proxy applies its rules without changing answers") {
    const auto test = GENERATE(from_range(std::vector<proxy_case>{
        {"no rule", "[]", k_exit_correct, ""},
        {"delay", R"([{"delay_ms": 50, "jitter_ms": 20}])", k_exit_correct, "/first_token/p50_ms"},
        {"throttle", R"([{"bytes_per_s": 20000}])", k_exit_correct, ""},
        {"cut inside answers", R"([{"answer_bytes": 500, "answer_connections": 4}])", k_exit_correct,
         "/retries/lost_connection"},
        {"answers lost", R"([{"answer_bytes": 0, "answer_connections": 4}])", k_exit_correct,
         "/retries/lost_connection"},
        {"half-open inside answers",
         R"([{"answer_bytes": 500, "answer_connections": 4, "answer_end": "half_open"}])", k_exit_correct,
         "/retries/silence"},
        {"cut", R"([{"state": "cut"}])", k_exit_incomplete, "/retries/lost_connection"},
        {"half-open", R"([{"state": "half_open"}])", k_exit_incomplete, "/retries/silence"},
        {"one way lost", R"([{"state": "lose_to_client"}])", k_exit_incomplete, "/retries/silence"},
        {"other clients", R"([{"from": "10.", "state": "cut"}])", k_exit_correct, ""},
    }));
    CAPTURE(test.name);
    const auto target = free_address();
    const auto listen = free_address();
    const auto control = free_address();
    const auto engine = start_engine(target, {});
    const auto proxy = start_fake("lovage-fault-proxy", control,
                                  {"listeners=[\"engine\"]", "listener.engine.listen=\"" + listen + "\"",
                                   "listener.engine.target=\"" + target + "\""});
    http_client_request rules_request;
    rules_request.method = "POST";
    rules_request.url = "http://" + control + "/rules";
    rules_request.body = std::string("{\"engine\": ") + test.rules + "}";
    const auto changed = http_send(rules_request);
    REQUIRE(changed);
    REQUIRE(changed->status == 200);
    const load_result load =
        run_load({"--direct-engine", "--entry", listen, "-n", "20", "-c", "10", "-t", "20", "--silence-ms",
                  "400", "--give-up-ms", "2000", "--require-completion"});
    CAPTURE(load.report.dump());
    CHECK(load.exit_code == test.exit_code);
    CHECK(load.report["wrong"] == 0);
    if (*test.counter != '\0') {
        CHECK(load.report[json::json_pointer(test.counter)] > 0);
    }
}

} // namespace lovage::testing
