#include "lovage/adapters/claim_store.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace lovage {

namespace {

enum class write_fault : std::uint8_t { none, refused, lost_answer, no_lease, lease_ended_once };

struct fake_store {
    std::map<std::string, std::string> values;
    std::map<std::string, lease_id> leases;
    write_fault fault = write_fault::none;
    lease_id granted = 0;
    milliseconds ttl{0};

    store_port port();
    result<std::uint64_t> write(const std::string& key, const std::string& value, lease_id lease);
};

result<std::uint64_t> fake_store::write(const std::string& key, const std::string& value, lease_id lease) {
    if (fault == write_fault::refused) {
        return fail(error_kind::store_unavailable, "");
    }
    if (fault == write_fault::lease_ended_once && lease == 1) {
        return fail(error_kind::not_found, "");
    }
    if (values.count(key) > 0) {
        return fail(error_kind::revision_conflict, "");
    }
    values[key] = value;
    leases[key] = lease;
    if (fault == write_fault::lost_answer) {
        return fail(error_kind::store_unavailable, "");
    }
    return std::uint64_t{1};
}

store_port fake_store::port() {
    store_port port;
    port.get = [this](const std::string& key) -> result<std::optional<store_value>> {
        const auto found = values.find(key);
        return found == values.end() ? std::optional<store_value>()
                                     : std::optional<store_value>(store_value{found->second, 1});
    };
    port.compare_and_swap = [this](const std::string& key, const std::string& value, std::uint64_t expected,
                                   lease_id lease) {
        CHECK(expected == 0);
        return write(key, value, lease);
    };
    port.grant_lease = [this](milliseconds asked) -> result<lease_id> {
        if (fault == write_fault::no_lease) {
            return fail(error_kind::store_unavailable, "");
        }
        ttl = asked;
        return ++granted;
    };
    return port;
}

const request_id k_request{1, 2};
const std::string k_key = "claims/" + k_request.to_string();
const claim_record k_own{"agent-1", 7, 42};
const claim_record k_other{"agent-2", 8, 43};

struct claim_case {
    const char* name;
    write_fault fault;
    /// Value of the key before the test; empty if there is none.
    std::string before;
    bool created;
    error_kind created_error;
    /// The claim that is read afterwards.
    bool readable;
    std::optional<claim_record> found;
};

// Guards against a claim that is reported as written or absent while another agent has one, and against a
// write whose answer was lost being reported as a conflict.
TEST_CASE("claims are written once and read back") {
    const auto test = GENERATE(from_range(std::vector<claim_case>{
        {"written", write_fault::none, "", true, error_kind::internal, true, k_own},
        {"held by another", write_fault::none, encode_claim(k_other), false, error_kind::revision_conflict,
         true, k_other},
        {"store down", write_fault::refused, "", false, error_kind::store_unavailable, true, std::nullopt},
        {"no lease", write_fault::no_lease, "", false, error_kind::store_unavailable, true, std::nullopt},
        {"answer lost", write_fault::lost_answer, "", false, error_kind::store_unavailable, true, k_own},
        {"lease ended", write_fault::lease_ended_once, "", true, error_kind::internal, true, k_own},
        {"no claim in the key", write_fault::none, "{\"agent\": 5}", false, error_kind::revision_conflict,
         false, std::nullopt},
    }));
    CAPTURE(test.name);
    fake_store store;
    store.fault = test.fault;
    if (!test.before.empty()) {
        store.values[k_key] = test.before;
    }
    claim_store claims({store.port(), [] { return time_point(std::chrono::hours(1)); }, nullptr, nullptr});
    const auto created = claims.create(k_request, k_own);
    CHECK(created.has_value() == test.created);
    if (!created) {
        CHECK(to_string(created.error().kind) == to_string(test.created_error));
    }
    const auto read = claims.read(k_request);
    REQUIRE(read.has_value() == test.readable);
    if (read) {
        CHECK(*read == test.found);
    }
}

struct lease_case {
    const char* name;
    std::chrono::minutes apart;
    lease_id leases;
};

// Guards against one lease per claim, and against claims that expire before their idempotency key does.
TEST_CASE("claims share a lease that lasts as long as the key is valid") {
    const auto test = GENERATE(from_range(std::vector<lease_case>{
        {"at once", std::chrono::minutes(0), 1},
        {"within the hour", std::chrono::minutes(59), 1},
        {"later", std::chrono::minutes(61), 2},
    }));
    CAPTURE(test.name);
    fake_store store;
    time_point now(std::chrono::hours(1));
    claim_store claims({store.port(), [&now] { return now; }, nullptr, nullptr});
    CHECK(claims.create({1, 1}, k_own));
    now += test.apart;
    CHECK(claims.create({1, 2}, k_own));
    CHECK(store.granted == test.leases);
    CHECK(store.ttl >= k_claim_validity + k_claim_lease_reuse_period);
}

enum class known_claim : std::uint8_t { none, own, read_of_another };

struct restored_claim_case {
    const char* name;
    known_claim known;
    bool is_fresh_id;
    // Time from the restoration, as this process saw it, to the call.
    milliseconds since;
    // When an entry failed, relative to the restoration.
    std::optional<milliseconds> failed;
    // The result of `create`, and the claim that the store has then.
    const char* outcome;
    std::optional<claim_record> found;
};

// Guards against a second run of a call whose claim a restored store has lost, and against calls that are
// refused for longer than a claim may be missing.
TEST_CASE("a call whose claim may have been lost is not claimed again") {
    constexpr milliseconds soon{1'000};
    constexpr milliseconds settled = k_claim_restore_time;
    const auto test = GENERATE_COPY(from_range(std::vector<restored_claim_case>{
        {"unknown", known_claim::none, false, soon, std::nullopt, "outcome_unknown", std::nullopt},
        {"certainly new", known_claim::none, true, soon, std::nullopt, "ok", k_own},
        {"unknown, others have written again", known_claim::none, false, settled, std::nullopt, "ok", k_own},
        {"unknown, an entry failed before", known_claim::none, false, settled, milliseconds{-60'000},
         "outcome_unknown", std::nullopt},
        {"unknown, an entry failed after", known_claim::none, false, settled, milliseconds{5'000},
         "outcome_unknown", std::nullopt},
        {"unknown, an entry failed long before", known_claim::none, false, settled, milliseconds{-601'000},
         "ok", k_own},
        {"unknown, long after", known_claim::none, false, k_claim_memory, milliseconds{-60'000}, "ok", k_own},
        {"bound to another agent", known_claim::own, false, soon, std::nullopt, "revision_conflict", k_other},
        {"read, bound to another agent", known_claim::read_of_another, false, soon, std::nullopt,
         "revision_conflict", k_other},
    }));
    CAPTURE(test.name);
    fake_store store;
    std::uint64_t era = 0;
    time_point now(std::chrono::hours(1));
    time_point restored_at = now;
    claim_store_ports ports{
        store.port(), [&now] { return now; }, wall_now,
        [&]() { return test.failed ? std::optional(restored_at + *test.failed) : std::nullopt; }};
    ports.store.era = [&era] { return era; };
    claim_store claims(ports);
    if (test.known == known_claim::own) {
        REQUIRE(claims.create(k_request, k_other));
    } else if (test.known == known_claim::read_of_another) {
        store.values[k_key] = encode_claim(k_other);
        REQUIRE(claims.read(k_request));
    }
    store.values.clear();
    ++era;
    // Another call shows the restoration.
    CHECK_FALSE(claims.create({3, 4}, k_own));
    now += test.since;
    const auto created = claims.create(k_request, k_own, test.is_fresh_id);
    CHECK((created ? "ok" : std::string(to_string(created.error().kind))) == test.outcome);
    const auto read = claims.read(k_request);
    REQUIRE(read);
    CHECK(*read == test.found);
}

struct rewrite_case {
    const char* name;
    bool fails_first;
};

// Guards against claims that only the process that wrote them knows, so that another one runs the call again.
TEST_CASE("claims that a restored store has lost are written again") {
    const auto test =
        GENERATE(from_range(std::vector<rewrite_case>{{"at once", false}, {"after a failure", true}}));
    CAPTURE(test.name);
    fake_store store;
    std::uint64_t era = 0;
    time_point now(std::chrono::hours(1));
    claim_store_ports ports{store.port(), [&now] { return now; }, wall_now, nullptr};
    ports.store.era = [&era] { return era; };
    claim_store claims(ports);
    REQUIRE(claims.create({1, 1}, k_own));
    REQUIRE(claims.create({1, 2}, k_other));
    store.values.clear();
    // Another process has claimed one of them meanwhile.
    store.values["claims/" + request_id{1, 2}.to_string()] = encode_claim(k_own);
    ++era;
    if (test.fails_first) {
        store.fault = write_fault::refused;
        claims.check_era();
        store.fault = write_fault::none;
    }
    claims.check_era();
    CHECK(*claims.read({1, 1}) == k_own);
    CHECK(*claims.read({1, 2}) == k_own);
}

struct started_case {
    const char* name;
    milliseconds era_age;
    bool is_claimed;
};

// Guards against a process that refuses calls after each start, long after a restoration, and against one
// that starts soon after it and runs a call again.
TEST_CASE("a process that starts learns from the store how old its era is") {
    const auto test = GENERATE(from_range(std::vector<started_case>{
        {"recent", milliseconds{60'000}, false},
        {"old", k_claim_memory, true},
    }));
    CAPTURE(test.name);
    fake_store store;
    const auto wall = wall_now();
    const time_point now(std::chrono::hours(1));
    claim_store_ports ports{store.port(), [now] { return now; }, [wall] { return wall; }, nullptr};
    ports.store.era = [] { return 5; };
    store.values["claims-era/5"] = std::to_string((wall - test.era_age).time_since_epoch().count());
    claim_store claims(ports);
    CHECK_FALSE(claims.create(k_request, k_own));
    claims.check_era();
    CHECK(claims.create(k_request, k_own).has_value() == test.is_claimed);
}

} // namespace

} // namespace lovage
