#include "process/child_process.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/http_server.h"
#include "lovage/adapters/settings.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <mutex>

namespace lovage::testing {

namespace {

struct command_result {
    int code = -1;
    std::string output;
};

// Runs lovagectl and waits until it exits.
command_result run_ctl(const std::vector<std::string>& arguments) {
    static std::atomic<int> count{0};
    auto started = child_process::start("lovagectl", arguments, "lovagectl-" + std::to_string(++count));
    REQUIRE(started);
    command_result result;
    result.code = (*started)->wait_for_exit(milliseconds(30'000)).value_or(-1);
    result.output = (*started)->log_text();
    return result;
}

std::string write_file(const std::string& name, const std::string& text) {
    const std::string path = log_folder() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

struct store_fixture {
    std::string address = free_address();
    std::unique_ptr<child_process> process;

    store_fixture() {
        auto started =
            child_process::start("lovage-fake-platform", {"--set", "http.address=\"" + address + "\""},
                                 "fake-platform-" + address);
        REQUIRE(started);
        process = std::move(*started);
        REQUIRE(wait_until_ok("http://" + address + "/healthz"));
    }

    void set_faults(const std::string& json) const {
        http_client_request request;
        request.method = "POST";
        request.url = "http://" + address + "/faults";
        request.body = json;
        REQUIRE(http_send(request)->status == 200);
    }

    command_result apply(const std::string& file,
                         const std::vector<std::string>& extra_arguments = {}) const {
        std::vector<std::string> arguments{"apply",    "--store", address,    "--file", file,
                                           "--author", "anna",    "--reason", "trial"};
        arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
        return run_ctl(arguments);
    }
};

std::string target_text(const std::string& name) {
    return "[[target]]\nname = \"" + name + "\"\n";
}

// A fake entry that serves only the administration endpoints.
struct entry_fixture {
    std::string address = free_address();
    std::atomic<std::uint64_t> revision{0};
    std::atomic<bool> ready{true};
    std::mutex mutex;
    std::string members = "[]";
    std::vector<std::string> seen;
    std::unique_ptr<http_server> server;

    entry_fixture() {
        const auto endpoint = parse_endpoint(address);
        http_server_options options;
        options.address = endpoint->ip;
        options.port = endpoint->port;
        const auto record = [this](const http_request& request) {
            const std::lock_guard lock(mutex);
            seen.push_back(request.method + " " + request.path);
            for (const auto& [name, value] : request.query) {
                seen.back() += " " + name + "=" + value;
            }
        };
        std::vector<http_route> routes{
            {"GET", "/readyz", [this](const http_request&) { return answer(ready ? 200 : 503, "{}"); }},
            {"GET", "/admin/status",
             [this](const http_request&) {
                 const std::lock_guard lock(mutex);
                 return answer(200, R"({"config_revision":)" + std::to_string(revision.load()) +
                                        R"(,"members":)" + members + "}");
             }},
            {"GET", "/admin/report",
             [](const http_request&) { return answer(200, R"({"requests":{"honoured":12}})"); }},
            {"GET", "/admin/explain",
             [record](const http_request& request) {
                 record(request);
                 return answer(request.query.count("move") > 0 ? 404 : 200, R"({"events":"none"})");
             }},
            {"POST", "/admin/drain",
             [record](const http_request& request) {
                 record(request);
                 return answer(200, R"({"draining":true})");
             }},
        };
        auto started = http_server::start(options, std::move(routes));
        REQUIRE(started);
        server = std::move(*started);
    }

    std::string last_seen() {
        const std::lock_guard lock(mutex);
        return seen.empty() ? std::string() : seen.back();
    }

    static http_response answer(int status, const std::string& body) {
        http_response response;
        response.status = status;
        response.body = body;
        return response;
    }
};

struct usage_case {
    std::vector<std::string> arguments;
    int code;
    const char* output;
};

// Guards against a mistyped command that is executed, or fails without a message that names the mistake.
TEST_CASE("lovagectl explains wrong usage") {
    const auto test = GENERATE(from_range(std::vector<usage_case>{
        {{}, 64, "no command given"},
        {{"aply"}, 64, "no command aply"},
        {{"apply"}, 64, "apply needs --file"},
        {{"show", "--target", "x"}, 64, "show has no option --target"},
        {{"show", "--store", "localhost:1"}, 64, "--store needs IP:PORT"},
        {{"show", "--colour"}, 64, "--colour: unknown option"},
        {{"show", "extra"}, 64, "unexpected argument extra"},
        {{"history", "--limit", "many"}, 64, "--limit needs an integer"},
        {{"explain", "--entry", "127.0.0.1:1"}, 64, "explain needs --request or --move"},
        {{"status", "--entry", "127.0.0.1:1"}, 7, "no connection"},
        {{"show", "--store", "127.0.0.1:1"}, 7, "no connection"},
        {{"--help"}, 0, "rollback"},
        {{"apply", "--help"}, 0, "--expect REVISION"},
        {{"--version"}, 0, "lovagectl "},
    }));
    const auto result = run_ctl(test.arguments);
    CAPTURE(result.output);
    CHECK(result.code == test.code);
    CHECK(contains(result.output, test.output));
}

// Guards against an edit of an outdated configuration that reverts another operator's change, and against
// changes that are missing in the history.
TEST_CASE("lovagectl applies, refuses conflicts, shows differences and rolls back") {
    const store_fixture store;
    const auto first = write_file("first.toml", target_text("a"));
    const auto second = write_file("second.toml", target_text("a") + target_text("b"));
    const auto third = write_file("third.toml", target_text("c"));

    auto result = store.apply(first);
    CHECK(result.code == 0);
    CHECK(contains(result.output, "accepted: revision 1,"));
    result = store.apply(second, {"--expect", "1"});
    CHECK(result.code == 0);
    CHECK(contains(result.output, "accepted: revision 3,"));

    for (const auto& extra_arguments : std::vector<std::vector<std::string>>{{"--expect", "1"}, {}}) {
        result = store.apply(third, extra_arguments);
        CAPTURE(result.output);
        CHECK(result.code == 2);
        CHECK(contains(result.output, "+name = \"b\""));
        CHECK(contains(result.output, "--expect 3"));
    }

    result = run_ctl({"diff", "--store", store.address, "--file", third});
    CHECK(contains(result.output, "-name = \"b\""));
    CHECK(contains(result.output, "+name = \"c\""));
    result = run_ctl({"diff", "--store", store.address, "--revision", "1"});
    CHECK(contains(result.output, "+name = \"b\""));

    result = run_ctl(
        {"rollback", "--store", store.address, "--revision", "1", "--author", "ben", "--reason", "back"});
    CAPTURE(result.output);
    CHECK(result.code == 0);
    result = run_ctl({"show", "--store", store.address});
    CHECK(contains(result.output, target_text("a")));
    CHECK_FALSE(contains(result.output, "name = \"b\""));

    result = run_ctl({"history", "--store", store.address});
    CHECK(contains(result.output, "by ben: back"));
    CHECK(contains(result.output, "revision 3,"));
    CHECK(contains(result.output, "revision 1,"));
    result = run_ctl({"show", "--store", store.address, "--revision", "3"});
    CHECK(contains(result.output, "name = \"b\""));
    CHECK(run_ctl({"show", "--store", store.address, "--revision", "99"}).code == 1);
}

struct fault_case {
    const char* name;
    const char* faults;
    int code;
    const char* output;
};

// Guards against a wrong outcome reported to the operator when the store fails.
TEST_CASE("lovagectl reports the outcome when the store fails") {
    const auto test = GENERATE(from_range(std::vector<fault_case>{
        {"one answer lost", R"({"lose_answers":1})", 0, "accepted: revision 1,"},
        {"all answers lost", R"({"lose_answers":true})", 0, "accepted: revision 1,"},
        {"down", R"({"down":true})", 7, "the store is down"},
        {"no writes", R"({"write_rate":0.001})", 0, "accepted: revision 1,"},
    }));
    CAPTURE(test.name);
    const store_fixture store;
    store.set_faults(test.faults);
    const auto result = store.apply(write_file("fault.toml", target_text("a")));
    CAPTURE(result.output);
    CHECK(result.code == test.code);
    CHECK(contains(result.output, test.output));
}

// Guards against an invalid configuration that is written to the store.
TEST_CASE("lovagectl refuses an invalid configuration text") {
    const store_fixture store;
    const auto file = write_file("wrong.toml", "[[target]]\nname = 1\n[[zoo]]\n");
    for (const auto& result : {store.apply(file), run_ctl({"validate", "--file", file})}) {
        CHECK(result.code == 5);
        CHECK(contains(result.output, "wrong.toml:2: target.name"));
        CHECK(contains(result.output, "wrong.toml:3: zoo"));
    }
    CHECK(run_ctl({"show", "--store", store.address}).code == 1);
    CHECK(run_ctl({"validate", "--file", write_file("right.toml", target_text("a"))}).code == 0);
}

// Guards against `apply --wait` that reports success while a process has an older configuration or is not
// ready, or that does not name the process.
TEST_CASE("lovagectl waits until a change is in force and names the processes that are behind") {
    const store_fixture store;
    entry_fixture entry;
    entry_fixture agent;
    entry.members = R"([{"node":"agent-1","http_address":")" + agent.address +
                    R"(","state":"alive"},{"node":"agent-2","http_address":"127.0.0.1:1","state":"dead"}])";
    const auto file = write_file("wait.toml", target_text("a"));
    entry.revision = 100;
    auto result = store.apply(file, {"--entry", entry.address, "--wait", "1"});
    CAPTURE(result.output);
    CHECK(result.code == 6);
    CHECK(contains(result.output, "agent-1 (" + agent.address + "): behind, revision 0"));
    CHECK_FALSE(contains(result.output, "agent-2"));

    agent.revision = 100;
    agent.ready = false;
    result = store.apply(file, {"--expect", "1", "--entry", entry.address, "--wait", "1"});
    CAPTURE(result.output);
    CHECK(result.code == 6);
    CHECK(contains(result.output, "agent-1 (" + agent.address + "): not ready, revision 100"));

    agent.ready = true;
    result = store.apply(file, {"--expect", "3", "--entry", entry.address, "--wait", "5"});
    CAPTURE(result.output);
    CHECK(result.code == 0);
    CHECK(contains(result.output, "in force in 2 processes, not in force in 0"));
}

struct entry_case {
    std::vector<std::string> arguments;
    int code;
    const char* output;
    const char* seen;
};

// Guards against a command that calls a wrong endpoint or does not fail over to the next entry.
TEST_CASE("lovagectl fails over to an entry that answers") {
    const auto test = GENERATE(from_range(std::vector<entry_case>{
        {{"status"}, 0, "config_revision: 0\n", ""},
        {{"report"}, 0, "requests:\n  honoured: 12\n", ""},
        {{"report", "--json"}, 0, R"({"requests":{"honoured":12}})", ""},
        {{"drain", "--target", "engine 1"}, 0, "draining: true", "POST /admin/drain target=engine 1"},
        {{"explain", "--request", "00ff"}, 0, "events: none", "GET /admin/explain request=00ff"},
        {{"explain", "--move", "m"}, 1, "status 404", "GET /admin/explain move=m"},
    }));
    entry_fixture entry;
    auto arguments = test.arguments;
    arguments.insert(arguments.end(), {"--entry", "127.0.0.1:1", "--entry", entry.address});
    const auto result = run_ctl(arguments);
    CAPTURE(result.output);
    CHECK(result.code == test.code);
    CHECK(contains(result.output, test.output));
    CHECK(entry.last_seen() == test.seen);
}

} // namespace

} // namespace lovage::testing
