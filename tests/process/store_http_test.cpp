#include "process/child_process.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/store_http.h"
#include "lovage/core/store_revision.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace lovage::testing {

namespace {

using nlohmann::json;

// A fake platform as a process and a client of its store; counts the outcomes of the calls.
struct platform_fixture {
    std::string address = free_address();
    std::unique_ptr<child_process> process;
    std::mutex mutex;
    std::map<std::string, int> calls;
    store_port store;

    explicit platform_fixture(const std::vector<std::string>& settings = {}) {
        std::vector<std::string> arguments{"--set", "http.address=\"" + address + "\""};
        for (const auto& setting : settings) {
            arguments.insert(arguments.end(), {"--set", setting});
        }
        auto started = child_process::start("lovage-fake-platform", arguments, "fake-platform-" + address);
        REQUIRE(started);
        process = std::move(*started);
        REQUIRE(wait_until_ok("http://" + address + "/healthz"));
        store = make_store_http({address, milliseconds(500), milliseconds(1'000)},
                                [this](std::string_view call, std::string_view outcome) {
                                    const std::lock_guard lock(mutex);
                                    ++calls[std::string(call) + " " + std::string(outcome)];
                                });
    }

    http_client_response send(const std::string& method, const std::string& path,
                              const std::string& body = "") {
        http_client_request request;
        request.method = method;
        request.url = "http://" + address + path;
        request.body = body;
        request.timeout = milliseconds(10'000);
        auto answer = http_send(request);
        REQUIRE(answer);
        return *answer;
    }

    json counts() { return json::parse(send("GET", "/counts").body); }

    void set_faults(const json& faults) { REQUIRE(send("POST", "/faults", faults.dump()).status == 200); }
};

template <class T>
std::string outcome_of(const result<T>& outcome) {
    return outcome ? "ok" : std::string(to_string(outcome.error().kind));
}

struct key_case {
    const char* key;
};

// Guards against keys that percent-encoding or decoding changes.
TEST_CASE("the store returns keys and values unchanged") {
    platform_fixture platform;
    const auto test = GENERATE(from_range(std::vector<key_case>{
        {"config/current"}, {"a b+c"}, {"claims/%2F"}, {"x?y=1&z"}, {"#"}, {"caf\xc3\xa9"}, {"plain"}}));
    CAPTURE(test.key);
    const std::string value = "line\n\"quoted\" \xc3\xa9 \\";
    CHECK_FALSE(platform.store.get(test.key)->has_value());
    const auto written = platform.store.compare_and_swap(test.key, value, 0, 0);
    REQUIRE(written);
    const auto read = platform.store.get(test.key);
    REQUIRE(read);
    REQUIRE(read->has_value());
    CHECK((*read)->value == value);
    CHECK((*read)->revision == *written);
    const auto listed = platform.store.list(test.key, 10);
    REQUIRE(listed);
    REQUIRE(listed->size() == 1);
    CHECK(listed->front().first == test.key);
}

// Guards against a write with a stale revision that takes effect, and against a revision that is used twice.
TEST_CASE("compare-and-swap writes only on the expected revision") {
    platform_fixture platform;
    const auto first = platform.store.compare_and_swap("k", "1", 0, 0);
    REQUIRE(first == 1);
    CHECK(outcome_of(platform.store.compare_and_swap("k", "2", 0, 0)) == "revision_conflict");
    CHECK(outcome_of(platform.store.compare_and_swap("k", "2", 7, 0)) == "revision_conflict");
    CHECK(outcome_of(platform.store.remove("k", 7)) == "revision_conflict");
    CHECK(outcome_of(platform.store.compare_and_swap("k", "2", 1, 99)) == "not_found");
    CHECK((*platform.store.get("k"))->value == "1");
    CHECK(platform.store.remove("k", 1));
    CHECK(platform.store.compare_and_swap("k", "3", 0, 0) == 2);
    CHECK(platform.calls["compare_and_swap ok"] == 2);
    CHECK(platform.calls["compare_and_swap revision_conflict"] == 2);
    CHECK(platform.calls["remove ok"] == 1);
}

// Guards against two concurrent writers that are both told that their write succeeded.
TEST_CASE("exactly one of many concurrent writers succeeds") {
    platform_fixture platform;
    std::vector<std::future<bool>> writers;
    for (int i = 0; i < 8; ++i) {
        writers.push_back(std::async(std::launch::async, [&platform, i] {
            return platform.store.compare_and_swap("k", std::to_string(i), 0, 0).has_value();
        }));
    }
    int winners = 0;
    for (auto& writer : writers) {
        winners += writer.get() ? 1 : 0;
    }
    CHECK(winners == 1);
}

struct fault_case {
    const char* name;
    json faults;
    const char* read;
    const char* write;
    bool takes_effect;
};

// Guards against a lost reply to a write that is reported as a success or as a write without effect.
TEST_CASE("faults of the store map to error kinds") {
    platform_fixture platform;
    const auto test = GENERATE(from_range(std::vector<fault_case>{
        {"none", json::object(), "ok", "ok", true},
        {"down", {{"down", true}}, "store_unavailable", "store_unavailable", false},
        {"lost answers", {{"lose_answers", true}}, "ok", "store_unavailable", true},
        {"slower than the timeout", {{"slow_ms", 1'600}}, "store_unavailable", "store_unavailable", true},
        {"above the write rate", {{"write_rate", 0}}, "ok", "ok then store_unavailable", true},
    }));
    CAPTURE(test.name);
    platform.set_faults(test.faults);
    CHECK(outcome_of(platform.store.get("k")) == test.read);
    std::string write = outcome_of(platform.store.compare_and_swap("k", "v", 0, 0));
    if (std::string(test.write).find("then") != std::string::npos) {
        // With a rate of 0 the rate limiter still allows one call, its burst.
        write += " then " + outcome_of(platform.store.compare_and_swap("other", "v", 0, 0));
    }
    CHECK(write == test.write);
    platform.set_faults({{"down", false}, {"slow_ms", 0}, {"lose_answers", 0}, {"write_rate", 300}});
    // A slow write takes effect after the timeout of its caller.
    for (int i = 0; i < 100 && test.takes_effect && !platform.store.get("k")->has_value(); ++i) {
        std::this_thread::sleep_for(milliseconds(50));
    }
    const auto read = platform.store.get("k");
    REQUIRE(read);
    CHECK(read->has_value() == test.takes_effect);
    if (std::string(test.name) == "lost answers") {
        CHECK(platform.counts()["lost_answers"] == 1);
    }
}

// Guards against a store that refuses connections being reported as anything but unavailable.
TEST_CASE("a store that does not listen is unavailable") {
    platform_fixture platform;
    CHECK(platform.process->stop() == 0);
    CHECK(outcome_of(platform.store.get("k")) == "store_unavailable");
    CHECK(outcome_of(platform.store.compare_and_swap("k", "v", 0, 0)) == "store_unavailable");
    CHECK(outcome_of(platform.store.grant_lease(milliseconds(1'000))) == "store_unavailable");
}

// Guards against keys that remain after their lease has ended, and against a renewal without effect.
TEST_CASE("keys are deleted when their lease ends") {
    platform_fixture platform;
    const auto lease = platform.store.grant_lease(milliseconds(600));
    REQUIRE(lease);
    REQUIRE(platform.store.compare_and_swap("leader", "n", 0, *lease));
    for (int i = 0; i < 4; ++i) {
        std::this_thread::sleep_for(milliseconds(200));
        CHECK(platform.store.renew_lease(*lease));
    }
    CHECK((*platform.store.get("leader")).has_value());
    const auto removed = platform.store.watch("leader", 1, milliseconds(5'000));
    REQUIRE(removed);
    REQUIRE(removed->has_value());
    CHECK((*removed)->revision == 0);
    CHECK(outcome_of(platform.store.renew_lease(*lease)) == "not_found");
    const auto second = platform.store.grant_lease(milliseconds(60'000));
    REQUIRE(second);
    REQUIRE(platform.store.compare_and_swap("leader", "m", 0, *second));
    CHECK(platform.store.revoke_lease(*second));
    CHECK_FALSE((*platform.store.get("leader")).has_value());
}

// Guards against a watch that misses a change, returns early, or is counted as more than one call.
TEST_CASE("a watch waits for a change and counts as one call") {
    platform_fixture platform;
    const auto start = monotonic_now();
    const auto nothing = platform.store.watch("k", 0, milliseconds(300));
    REQUIRE(nothing);
    CHECK_FALSE(nothing->has_value());
    CHECK(monotonic_now() - start >= milliseconds(300));

    auto pending = std::async(std::launch::async,
                              [&platform] { return platform.store.watch("k", 0, milliseconds(10'000)); });
    for (int i = 0; i < 200 && platform.counts()["pending_watches"] != 1; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    REQUIRE(platform.store.compare_and_swap("k", "v", 0, 0));
    const auto changed = pending.get();
    REQUIRE(changed);
    REQUIRE(changed->has_value());
    CHECK((*changed)->value == "v");
    CHECK(platform.counts()["calls"]["watch"] == 2);
    CHECK(platform.counts()["pending_watches"] == 0);
}

struct restored_case {
    const char* name;
    // Whether a call has shown the new era to the client before the one that is tested.
    bool is_era_known;
};

// Guards against numbers of the lost history that are taken for those of another change or lease.
TEST_CASE("a restored store accepts nothing of the history that it lost") {
    const auto test = GENERATE(from_range(std::vector<restored_case>{{"known", true}, {"unknown", false}}));
    CAPTURE(test.name);
    platform_fixture platform;
    auto& store = platform.store;
    auto other = make_store_http({platform.address, milliseconds(500), milliseconds(1'000)});
    const auto first = store.compare_and_swap("k", "1", 0, 0);
    REQUIRE(first);
    REQUIRE(platform.send("POST", "/copy").status == 200);
    const auto lost = store.compare_and_swap("k", "2", *first, 0);
    const auto lost_lease = store.grant_lease(milliseconds(60'000));
    REQUIRE(lost);
    REQUIRE(lost_lease);
    REQUIRE(platform.send("POST", "/restore").status == 200);
    // The numbers are given out again.
    const auto present = other.get("k");
    REQUIRE(present);
    const auto lease = other.grant_lease(milliseconds(60'000));
    const auto written = other.compare_and_swap("k", "3", (*present)->revision, 0);
    REQUIRE(lease);
    REQUIRE(written);
    CHECK(number_of(*lease) == number_of(*lost_lease));
    CHECK(number_of(*written) == number_of(*lost));
    if (test.is_era_known) {
        REQUIRE(store.get("k"));
    }

    SECTION("lease") {
        CHECK(outcome_of(store.renew_lease(*lost_lease)) == "not_found");
        CHECK(outcome_of(store.compare_and_swap("claim", "v", 0, *lost_lease)) == "not_found");
        CHECK_FALSE(store.get("claim")->has_value());
    }
    SECTION("key with a lease") {
        CHECK(outcome_of(store.compare_and_swap("claim", "v", 0, *lost_lease)) == "not_found");
        CHECK_FALSE(store.get("claim")->has_value());
    }
    SECTION("revision") {
        const auto outcome = outcome_of(store.compare_and_swap("k", "4", *lost, 0));
        CHECK(outcome == (test.is_era_known ? "revision_conflict" : "store_unavailable"));
    }
    SECTION("watch") {
        const auto watched = store.watch("k", *lost, milliseconds(300));
        REQUIRE(watched);
        REQUIRE(watched->has_value());
        CHECK((*watched)->value == "3");
        CHECK((*watched)->revision == *written);
        CHECK(*written > *lost);
    }
    SECTION("watch from a later revision") {
        const auto watched = store.watch("k", *lost + 100, milliseconds(300));
        REQUIRE(watched);
        REQUIRE(watched->has_value());
        CHECK((*watched)->revision == *written);
    }
    SECTION("watch of a key that was removed") {
        REQUIRE(other.remove("k", *written));
        const auto watched = store.watch("k", *lost, milliseconds(300));
        REQUIRE(watched);
        REQUIRE(watched->has_value());
        CHECK((*watched)->revision == 0);
    }
}

// Guards against a platform that does not shut down while calls are pending.
TEST_CASE("the platform stops while a watch is pending") {
    platform_fixture platform;
    auto pending = std::async(std::launch::async,
                              [&platform] { return platform.store.watch("k", 0, milliseconds(10'000)); });
    for (int i = 0; i < 200 && platform.counts()["pending_watches"] != 1; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(platform.process->stop(milliseconds(4'000)) == 0);
    pending.wait();
}

// Guards against a fake list of VMs that is more up to date than the real one: tests would then miss faults
// in the handling of an outdated list.
TEST_CASE("the list of VMs lags") {
    platform_fixture platform({"vms.lag_ms=500"});
    const std::string vm =
        R"({"name":"e1","address":"127.0.0.1:1","zone":"z","role":"entry","state":"live"})";
    CHECK(platform.send("POST", "/vms", R"({"vms":[)" + vm + "]}").status == 200);
    CHECK(json::parse(platform.send("GET", "/vms").body)["vms"].empty());
    std::this_thread::sleep_for(milliseconds(600));
    CHECK(json::parse(platform.send("GET", "/vms").body)["vms"][0] == json::parse(vm));
    CHECK(platform.send("POST", "/vms", R"({"vms":[{"name":"e1"}]})").status == 400);
}

// Guards against concurrent downloads of weights that each get the full bandwidth of the weight store.
TEST_CASE("concurrent downloads of weights share one rate") {
    platform_fixture platform({"weights.bytes_per_second=1000", "weights.bytes_per_version=300"});
    const auto start = monotonic_now();
    std::vector<std::future<int>> loads;
    for (int i = 0; i < 3; ++i) {
        loads.push_back(std::async(std::launch::async, [&platform] {
            return platform.send("GET", "/weights/history/v1?target=engine-1").status;
        }));
    }
    for (auto& load : loads) {
        CHECK(load.get() == 200);
    }
    CHECK(monotonic_now() - start >= milliseconds(900));
}

} // namespace

} // namespace lovage::testing
