#include "child_process.h"

#include "lovage/adapters/http_client.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

using testing::child_process;
using testing::free_address;
using testing::wait_until_ok;

constexpr const char* k_config = R"([[zone]]
name = "z"
region = "r"
[[organisation]]
name = "o"
share = 1.0
[[service]]
name = "listings"
kind = "plain"
non_repeatable = ["POST /listings"]
)";

std::string write_file(const std::string& name, const std::string& text) {
    const std::string path = testing::log_folder() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

http_client_response send(const std::string& method, const std::string& url, const std::string& key,
                          const std::string& body = {}) {
    http_client_request request;
    request.method = method;
    request.url = url;
    request.headers["X-Organisation"] = "o";
    if (!key.empty()) {
        request.headers["Idempotency-Key"] = key;
    }
    request.headers["X-Deadline-Ms"] = "5000";
    request.body = body;
    const auto response = http_send(request);
    REQUIRE(response);
    return *response;
}

struct service_fleet_options {
    milliseconds work_delay{20};
    /// Added to the settings of the entries and of the agent, as TOML.
    std::string entry_settings;
    std::string agent_settings;
};

// A fake platform, two entries, a fake service and its agent, all as processes.
struct service_fleet {
    std::string platform_address = free_address();
    std::string service_address = free_address();
    std::string entry_gossip = free_address();
    std::vector<std::string> entry_http{free_address(), free_address()};
    std::unique_ptr<child_process> platform;
    std::unique_ptr<child_process> service;
    std::unique_ptr<child_process> agent;
    std::vector<std::unique_ptr<child_process>> entries;

    explicit service_fleet(const service_fleet_options& options = {});
    std::string url(std::size_t entry, const std::string& path) const {
        return "http://" + entry_http.at(entry) + "/v1/services/listings" + path;
    }
    bool wait_until_served(std::size_t entry) const;
};

std::unique_ptr<child_process> start(const std::string& program, const std::vector<std::string>& arguments,
                                     const std::string& name) {
    auto child = child_process::start(program, arguments, name);
    REQUIRE(child);
    return std::move(*child);
}

std::string node_settings(const std::string& node, const std::string& http, const std::string& gossip,
                          const std::string& seed, const std::string& store) {
    return "node = \"" + node + "\"\nzone = \"z\"\nregion = \"r\"\n[http]\naddress = \"" + http +
           "\"\n[peer]\naddress = \"" + free_address() + "\"\n[gossip]\naddress = \"" + gossip +
           "\"\nseeds = [\"" + seed + "\"]\n[store]\naddress = \"" + store + "\"\n";
}

service_fleet::service_fleet(const service_fleet_options& options) {
    platform =
        start("lovage-fake-platform", {"--set", "http.address=\"" + platform_address + "\""}, "platform");
    service = start("lovage-fake-service",
                    {"--set", "address=\"" + service_address + "\"", "--set",
                     "listing_delay_ms=" + std::to_string(options.work_delay.count()), "--set",
                     "lodgement_delay_ms=" + std::to_string(options.work_delay.count())},
                    "service");
    REQUIRE(wait_until_ok("http://" + platform_address + "/counts"));
    const nlohmann::json document = {
        {"operation", "1"}, {"author", "test"}, {"reason", "test"}, {"text", k_config}};
    CHECK(send("PUT", "http://" + platform_address + "/kv/config%2Fcurrent?expected=0", "", document.dump())
              .status == 200);
    for (std::size_t i = 0; i < entry_http.size(); ++i) {
        const std::string name = "entry-" + std::to_string(i + 1);
        const std::string gossip = i == 0 ? entry_gossip : free_address();
        entries.push_back(
            start("lovage-entry",
                  {"--settings", write_file(name + ".toml", node_settings(name, entry_http[i], gossip,
                                                                          entry_gossip, platform_address) +
                                                                options.entry_settings)},
                  name));
    }
    agent = start(
        "lovage-agent",
        {"--settings", write_file("agent.toml", options.agent_settings +
                                                    node_settings("agent-1", free_address(), free_address(),
                                                                  entry_gossip, platform_address) +
                                                    "[target]\nname = \"service-1\"\nkind = \"service\"\n"
                                                    "address = \"" +
                                                    service_address + "\"\nservices = [\"listings\"]\n")},
        "agent-1");
    for (std::size_t i = 0; i < entry_http.size(); ++i) {
        REQUIRE(wait_until_served(i));
    }
}

bool service_fleet::wait_until_served(std::size_t entry) const {
    if (!wait_until_ok("http://" + entry_http.at(entry) + "/readyz")) {
        return false;
    }
    const time_point end = monotonic_now() + milliseconds(10'000);
    while (monotonic_now() < end) {
        if (send("GET", url(entry, "/lookup/1?x=1"), "").status == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

// Guards against a non-idempotent call that runs twice when its retry reaches another entry or that runs
// without a claim while the store is down, against an idempotent call that needs the store, and against calls
// dispatched to a drained target.
TEST_CASE("non-idempotent calls run at most once across entries") {
    service_fleet fleet;
    const auto first = send("POST", fleet.url(0, "/listings"), "key-1", "{}");
    const auto second = send("POST", fleet.url(1, "/listings"), "key-1", "{}");
    CHECK(first.status == second.status);
    CHECK(first.status < 300);
    CHECK(first.body == second.body);
    CHECK(send("POST", fleet.url(1, "/listings"), "", "{}").status < 300);

    CHECK(send("POST", "http://" + fleet.platform_address + "/faults", "", R"({"down": true})").status ==
          200);
    const auto refused = send("POST", fleet.url(0, "/listings"), "key-2", "{}");
    CHECK(refused.status == 503);
    CHECK(nlohmann::json::parse(refused.body).at("error").at("kind") == "store_unavailable");
    CHECK(send("GET", fleet.url(0, "/lookup/1"), "").status == 200);

    const auto report = send("GET", "http://" + fleet.entry_http[0] + "/admin/report", "");
    CHECK(nlohmann::json::parse(report.body).at("requests").at("honoured") >= 2);
    const auto page = send("GET", "http://" + fleet.entry_http[0] + "/admin/report?format=html", "");
    CHECK(page.body.find("listings") != std::string::npos);
    CHECK(send("POST", "http://" + fleet.entry_http[0] + "/admin/drain?target=service-1", "").status == 200);
    CHECK(send("GET", fleet.url(0, "/lookup/1"), "").status == 503);

    const auto ledger = send("GET", "http://" + fleet.service_address + "/ledger", "");
    std::map<std::string, int> posts;
    const auto calls = nlohmann::json::parse(ledger.body).at("calls");
    for (const auto& call : calls) {
        if (call.at("path") == "/listings") {
            posts[call.at("key").get<std::string>()] += call.at("count").get<int>();
        }
    }
    CAPTURE(ledger.body);
    CHECK(posts.size() == 2);
    for (const auto& [key, count] : posts) {
        CHECK(count == 1);
    }
}

struct call_stop_case {
    const char* name;
    bool stops_entry;
    const char* path;
    error_kind kind;
};

// Guards against calls that are cut without an answer, or wait for their deadline, when the time that a
// planned stop grants them is over.
TEST_CASE("calls that a planned stop cannot finish get their final answer at its end") {
    const auto test = GENERATE(from_range(std::vector<call_stop_case>{
        {"agent, non-idempotent", false, "/listings", error_kind::outcome_unknown},
        {"agent, idempotent", false, "/lodgements", error_kind::no_target},
        {"entry, non-idempotent", true, "/listings", error_kind::outcome_unknown},
        {"entry, idempotent", true, "/lodgements", error_kind::leaving},
    }));
    CAPTURE(test.name);
    service_fleet_options options;
    options.work_delay = milliseconds(15'000);
    options.entry_settings = "[drain]\ngrace_ms = 1000\n";
    options.agent_settings = "drain_limit_ms = 1000\n";
    service_fleet fleet(options);
    std::optional<http_client_response> response;
    time_point answered_at{};
    std::thread caller([&] {
        http_client_request request;
        request.method = "POST";
        request.url = fleet.url(0, test.path);
        request.headers = {{"X-Organisation", "o"}, {"Idempotency-Key", "k"}, {"X-Deadline-Ms", "12000"}};
        request.body = "{}";
        request.timeout = milliseconds(14'000);
        if (auto received = http_send(request)) {
            response = std::move(*received);
        }
        answered_at = monotonic_now();
    });
    std::this_thread::sleep_for(milliseconds(500));
    child_process& stopped = test.stops_entry ? *fleet.entries[0] : *fleet.agent;
    const time_point stopped_at = monotonic_now();
    stopped.send_signal(SIGTERM);
    CHECK(stopped.wait_for_exit(milliseconds(3'000)) == 0);
    caller.join();
    REQUIRE(response);
    CHECK(answered_at - stopped_at < milliseconds(2'500));
    const auto body = nlohmann::json::parse(response->body);
    CHECK(body.at("error").at("kind") == std::string(to_string(test.kind)));
    CHECK(body.at("error").at("not_run") == false);
}

} // namespace

} // namespace lovage
