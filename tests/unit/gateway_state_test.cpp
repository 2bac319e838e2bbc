#include "lovage/control/gateway_state.h"

#include "documents.h"

#include "lovage/core/store_revision.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point(milliseconds(ms));
}

gateway_state make_state() {
    gateway_state state;
    state.documents = platform::make_documents();
    return state;
}

store_change config(std::uint64_t version, std::uint64_t revision) {
    const std::string text = R"({"Version":)" + std::to_string(version) +
                             R"(,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Kind":"idempotent",)"
                             R"("TimeoutMs":800,"SloMs":300,"Service":"s","MaxAttempts":2}],"Services":[]})";
    return {"op/config", store_value{text, revision}};
}

store_change target(const std::string& id, const std::string& address, const std::string& phase,
                    std::uint64_t revision, const std::string& version = "v1") {
    const std::string text = R"({"Service":"s","Address":")" + address + R"(","Zone":"a","Version":")" +
                             version + R"(","Slots":4,"State":")" + phase + R"("})";
    return {"servers/" + id, store_value{text, revision}};
}

store_update full_read(std::vector<store_change> changes) {
    store_update update;
    update.kind = store_update_kind::first_page;
    update.completes_read = true;
    update.changes = std::move(changes);
    update.revision = 10;
    return update;
}

store_update changes_only(std::vector<store_change> changes) {
    auto update = full_read(std::move(changes));
    update.kind = store_update_kind::changes;
    update.completes_read = false;
    return update;
}

store_update page(store_update_kind kind, std::vector<store_change> changes, bool completes_read = false) {
    auto update = full_read(std::move(changes));
    update.kind = kind;
    update.completes_read = completes_read;
    return update;
}

store_update failure() {
    store_update update;
    update.failure = error{error_kind::store_unavailable, "scripted", milliseconds(0)};
    return update;
}

gateway_view_ptr view_of(gateway_state& state) {
    return make_gateway_view(state, at_ms(0), wall_time(milliseconds(0)));
}

// Ids of the targets that requests may be sent to.
std::vector<std::string> usable_target_ids(gateway_state& state) {
    const auto view = view_of(state);
    const auto split = view->splits.find("s");
    std::vector<std::string> found;
    if (view->targets && view->targets->count("s") > 0) {
        for (const auto& record : view->targets->at("s")) {
            if (record.phase == target_phase::draining) {
                continue;
            }
            if (split == view->splits.end() ||
                is_eligible_for_side(split->second, version_side::usual, record.id, record.version) ||
                split->second.share > 0.0) {
                found.push_back(record.id);
            }
        }
    }
    return found;
}

// Guards against a first list of targets that is never published: a restarted process then served no
// requests.
TEST_CASE("the first read of the whole store publishes the configuration and the targets") {
    auto state = make_state();
    CHECK_FALSE(view_of(state)->targets);
    apply_store_update(state, full_read({config(3, 1), target("t1", "10.0.0.1:1", "ready", 2)}), at_ms(0));
    const auto view = view_of(state);
    REQUIRE(view->table);
    CHECK(view->table->version == 3);
    CHECK(usable_target_ids(state) == std::vector<std::string>{"t1"});
}

// Guards against a full read in pages that removes a target which registered between two of them, keeps one
// that has gone, or brings back one that was removed meanwhile.
TEST_CASE("a full read in pages ends with the targets of the store") {
    auto state = make_state();
    apply_store_update(
        state,
        full_read({config(3, 1), target("early", "10.0.0.1:1", "ready", 2),
                   target("gone", "10.0.0.2:1", "ready", 3), target("late", "10.0.0.3:1", "ready", 4),
                   target("removed", "10.0.0.4:1", "ready", 5)}),
        at_ms(0));
    apply_store_update(
        state, page(store_update_kind::first_page, {config(3, 1), target("early", "10.0.0.1:1", "ready", 2)}),
        at_ms(1));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"early", "gone", "late", "removed"});
    apply_store_update(
        state, changes_only({target("new", "10.0.0.5:1", "ready", 20), {"servers/removed", std::nullopt}}),
        at_ms(2));
    apply_store_update(state,
                       page(store_update_kind::next_page, {target("late", "10.0.0.3:1", "ready", 4)}, true),
                       at_ms(3));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"early", "late", "new"});
}

// Guards against a process that accepts callers before it knows a target.
TEST_CASE("targets are published with the first page that has one") {
    auto state = make_state();
    apply_store_update(state, page(store_update_kind::first_page, {config(3, 1)}), at_ms(0));
    CHECK(view_of(state)->table);
    CHECK_FALSE(view_of(state)->targets);
    apply_store_update(state, page(store_update_kind::next_page, {target("t1", "10.0.0.1:1", "ready", 2)}),
                       at_ms(1));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"t1"});
}

// Guards against a process that reverts to an older configuration.
TEST_CASE("an older configuration is never adopted") {
    auto state = make_state();
    apply_store_update(state, full_read({config(5, 9)}), at_ms(0));
    apply_store_update(state, changes_only({config(4, 11)}), at_ms(1));
    CHECK(view_of(state)->table->version == 5);
    apply_store_update(state, changes_only({config(9, 12)}), at_ms(2));
    CHECK(view_of(state)->table->version == 9);
}

struct replaced_case {
    const char* name;
    std::vector<store_change> changes;
    int decoded_documents;
    int decoded_targets;
    std::vector<std::string> usable;
};

// Guards against a slow process that falls behind because it decodes each of several large configurations
// that one read returns, and against changes that are lost by that.
TEST_CASE("of the writes of a key that one read returns, the last one is decoded") {
    const store_change removed{"servers/t1", std::nullopt};
    const auto test = GENERATE_COPY(from_range(std::vector<replaced_case>{
        {"configurations", {config(4, 11), config(5, 12), config(6, 13)}, 1, 0, {"t1"}},
        {"renewals",
         {target("t1", "10.0.0.1:1", "ready", 11), target("t1", "10.0.0.1:1", "ready", 12)},
         0,
         1,
         {"t1"}},
        {"removed", {target("t1", "10.0.0.1:1", "draining", 11), removed}, 0, 1, {}},
        {"removed and back",
         {target("t1", "10.0.0.1:1", "draining", 11), removed, target("t1", "10.0.0.9:1", "ready", 13)},
         0,
         2,
         {"t1"}},
        {"different keys", {config(6, 11), target("t2", "10.0.0.2:1", "ready", 12)}, 1, 1, {"t1", "t2"}},
    }));
    CAPTURE(test.name);
    auto state = make_state();
    apply_store_update(state, full_read({config(3, 1), target("t1", "10.0.0.1:1", "ready", 2)}), at_ms(0));
    int documents = 0;
    int targets = 0;
    const auto real = state.documents;
    state.documents.decode_watched_document = [&](const std::string& key, const store_value& value) {
        ++documents;
        return real.decode_watched_document(key, value);
    };
    state.documents.decode_target = [&](const std::string& key, const store_value& value) {
        ++targets;
        return real.decode_target(key, value);
    };
    apply_store_update(state, changes_only(test.changes), at_ms(1));
    CHECK(documents == test.decoded_documents);
    CHECK(targets == test.decoded_targets);
    CHECK(usable_target_ids(state) == test.usable);
    CHECK(view_of(state)->table->version == (test.decoded_documents > 0 ? 6 : 3));
}

struct change_case {
    const char* name;
    std::vector<store_change> changes;
    std::uint64_t newest_change;
};

// Guards against renewed registrations that make every process read early, and against changes that are not
// announced.
TEST_CASE("only changes of the configuration and of targets count as newest change") {
    const auto test = GENERATE(from_range(std::vector<change_case>{
        {"renewed", {target("t1", "10.0.0.1:1", "ready", 30)}, 5},
        {"draining", {target("t1", "10.0.0.1:1", "draining", 30)}, 30},
        {"new target", {target("t2", "10.0.0.2:1", "ready", 31)}, 31},
        {"new configuration", {config(4, 32)}, 32},
        {"old configuration", {config(2, 33)}, 5},
    }));
    CAPTURE(test.name);
    auto state = make_state();
    apply_store_update(state, full_read({config(3, 4), target("t1", "10.0.0.1:1", "ready", 5)}), at_ms(0));
    CHECK(view_of(state)->newest_change == 5);
    apply_store_update(state, changes_only(test.changes), at_ms(10));
    CHECK(view_of(state)->newest_change == test.newest_change);
}

struct removal_case {
    const char* name;
    bool is_store_lost;
    const char* phase;
    std::int64_t checked_at_ms;
    bool is_kept;
};

// Guards against healthy targets that are removed because their leases expired during a store outage, and
// against new work for targets that have stopped.
TEST_CASE("a removed entry removes its target at once only while the store is reliable") {
    const auto test = GENERATE(from_range(std::vector<removal_case>{
        {"reliable", false, "ready", 100, false},
        {"after an outage", true, "ready", 2'000, true},
        {"did not come back", true, "ready", 2'400, false},
        {"draining before the outage", true, "draining", 100, false},
    }));
    CAPTURE(test.name);
    auto state = make_state();
    apply_store_update(state, full_read({config(1, 1), target("t1", "10.0.0.1:1", test.phase, 2)}),
                       at_ms(-9'000));
    if (test.is_store_lost) {
        apply_store_update(state, failure(), at_ms(-5'000));
        expire_targets(state, at_ms(-1'000));
    }
    apply_store_update(state, changes_only({{"servers/t1", std::nullopt}}), at_ms(0));
    expire_targets(state, at_ms(test.checked_at_ms));
    CHECK(usable_target_ids(state).size() == (test.is_kept ? 1 : 0));
}

store_change target_at(const std::string& phase, std::uint64_t revision, std::uint64_t started_ms) {
    const std::string text = R"({"Service":"s","Address":"10.0.0.1:1","Zone":"a","State":")" + phase +
                             R"(","born":)" + std::to_string(started_ms) + "}";
    return {"servers/t1", store_value{text, revision}};
}

store_update restored_read(std::vector<store_change> changes, std::uint64_t era) {
    auto update = full_read(std::move(changes));
    update.revision = make_revision(era, 9);
    return update;
}

struct restored_entry_case {
    const char* name;
    /// What was read of the target before the restoration.
    std::vector<store_change> before;
    /// What a copy holds of it, and what is read later.
    std::vector<store_change> in_copy;
    std::vector<store_change> later;
    /// Usable soon after the restoration, and after entries of silent targets have expired.
    bool is_usable_soon;
    bool is_usable_later;
};

// Guards against a target that has left, or that announced its shutdown, and is in use again because the
// store came back from an older copy; and against a live one that is given up because the copy lacks its
// entry.
TEST_CASE("a restored store does not bring back targets that were withdrawn") {
    // Whether the store counts its first history as 0 or as 1.
    const std::uint64_t era = GENERATE(0, 1);
    const auto first = make_revision(era, 2);
    const auto then = make_revision(era, 3);
    const auto copied = make_revision(era + 1, 2);
    const auto again = make_revision(era + 1, 10);
    const store_change removed{"servers/t1", std::nullopt};
    const auto test = GENERATE_COPY(from_range(std::vector<restored_entry_case>{
        {"unchanged", {target_at("ready", first, 7)}, {target_at("ready", copied, 7)}, {}, true, true},
        {"was draining",
         {target_at("ready", first, 7), target_at("draining", then, 7)},
         {target_at("ready", copied, 7)},
         {},
         false,
         false},
        {"was draining and left",
         {target_at("ready", first, 7), target_at("draining", then, 7), removed},
         {target_at("ready", copied, 7)},
         {},
         false,
         false},
        {"left and its entry expires",
         {target_at("ready", first, 7), removed},
         {target_at("ready", copied, 7)},
         {removed},
         false,
         false},
        {"had lost its lease and lives",
         {target_at("ready", first, 7), removed},
         {target_at("ready", copied, 7)},
         {},
         false,
         true},
        {"left and started anew",
         {target_at("draining", first, 7), removed},
         {target_at("ready", copied, 8)},
         {},
         true,
         true},
        {"not in the copy, registers again",
         {target_at("ready", first, 7)},
         {},
         {target_at("ready", again, 7)},
         true,
         true},
        {"not in the copy, does not register", {target_at("ready", first, 7)}, {}, {}, true, false},
        {"draining, not in the copy", {target_at("draining", first, 7)}, {}, {}, false, false},
    }));
    CAPTURE(test.name);
    auto state = make_state();
    auto at_start = full_read({config(1, make_revision(era, 1))});
    at_start.revision = make_revision(era, 1);
    apply_store_update(state, at_start, at_ms(0));
    for (const auto& change : test.before) {
        apply_store_update(state, changes_only({change}), at_ms(100));
    }
    auto read = test.in_copy;
    read.push_back(config(1, make_revision(era + 1, 1)));
    apply_store_update(state, restored_read(read, era + 1), at_ms(10'000));
    expire_targets(state, at_ms(11'900));
    CHECK(usable_target_ids(state).size() == (test.is_usable_soon ? 1 : 0));
    apply_store_update(state, changes_only(test.later), at_ms(11'950));
    expire_targets(state, at_ms(15'000));
    CHECK(usable_target_ids(state).size() == (test.is_usable_later ? 1 : 0));
}

// Guards against work for a target whose address another target has taken over, and for a version that is not
// evaluated yet.
TEST_CASE("replaced targets, and a version that requests are not yet moved to, are left out") {
    auto state = make_state();
    apply_store_update(
        state,
        full_read({config(1, 1), target("old", "10.0.0.1:1", "ready", 2),
                   target("new", "10.0.0.1:1", "ready", 7), target("next", "10.0.0.2:1", "ready", 8, "v2")}),
        at_ms(0));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"new", "next"});
    apply_store_update(
        state,
        changes_only({{"op/rollout/s", store_value{R"({"Service":"s","Target":"v2","DurationS":12})", 9}}}),
        at_ms(1));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"new"});
    // A full read that contains the order keeps it; its removal ends it.
    apply_store_update(
        state,
        full_read({config(1, 1),
                   target("new", "10.0.0.1:1", "ready", 7),
                   target("next", "10.0.0.2:1", "ready", 8, "v2"),
                   {"op/rollout/s", store_value{R"({"Service":"s","Target":"v2","DurationS":12})", 9}}}),
        at_ms(2));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"new"});
    apply_store_update(state, changes_only({{"op/rollout/s", std::nullopt}}), at_ms(2));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"new", "next"});
}

struct status_case {
    move_phase phase;
    const char* state;
    double share;
};

// Guards against an operators' status that differs from the record, and against a record that a process
// cannot decode after it wrote it.
TEST_CASE("a record and the operators' status are written together") {
    const auto test = GENERATE(from_range(std::vector<status_case>{
        {move_phase::loading, "running", 0.0},
        {move_phase::canary, "running", 0.1},
        {move_phase::growing, "running", 1.0},
        {move_phase::landed, "completed", 1.0},
        {move_phase::reverted, "rolled_back", 0.0},
    }));
    auto state = make_state();
    move_record record;
    record.id = "s@9";
    record.model = "s";
    record.to = "v2";
    record.phase = test.phase;
    record.share = test.share;
    record.deadline = wall_time(milliseconds(12'000));
    const auto puts = state.documents.encode_move(record);
    REQUIRE(puts.size() == 2);
    CHECK(puts[0].key == state.documents.move_key("s"));
    CHECK(puts[1].key == "status/rollout/s");
    CHECK(puts[1].value.find(std::string(R"("State":")") + test.state + '"') != std::string::npos);
    CHECK(puts[1].value.find(R"("Target":"v2")") != std::string::npos);
    apply_store_update(
        state,
        full_read({config(1, 1),
                   {puts[0].key, store_value{puts[0].value, 20}},
                   {"op/rollout/s", store_value{R"({"Service":"s","Target":"v2","DurationS":12})", 9}}}),
        at_ms(0));
    CHECK(view_of(state)->splits.at("s").share == test.share);
}

store_change order_of(const std::string& version, std::uint64_t revision) {
    const auto text = R"({"Service":"s","Target":")" + version + R"(","DurationS":12})";
    return {"op/rollout/s", store_value{text, revision}};
}

store_change order_at(std::uint64_t revision) {
    return order_of("v2", revision);
}

store_change record_at(const std::string& id, move_phase phase, std::uint64_t sequence,
                       std::uint64_t revision) {
    move_record record;
    record.id = id;
    record.model = "s";
    record.to = "v2";
    record.phase = phase;
    record.share = phase == move_phase::landed ? 1.0 : 0.1;
    record.sequence = sequence;
    record.deadline = wall_time(milliseconds(12'000));
    const auto puts = platform::make_documents().encode_move(record);
    return {puts[0].key, store_value{puts[0].value, revision}};
}

// Guards against a target that gets no work because a restored store brings back the entry of the target that
// had its address before.
TEST_CASE("an entry that only the store's copy holds replaces no target that registered after the copy") {
    auto state = make_state();
    auto before = full_read(
        {config(1, make_revision(1, 1)), target("old", "10.0.0.1:1", "ready", make_revision(1, 40))});
    before.revision = make_revision(1, 41);
    apply_store_update(state, before, at_ms(0));
    apply_store_update(state,
                       changes_only({{"servers/old", std::nullopt},
                                     target("new", "10.0.0.1:1", "ready", make_revision(1, 45))}),
                       at_ms(100));
    REQUIRE(usable_target_ids(state) == std::vector<std::string>{"new"});
    apply_store_update(
        state,
        restored_read(
            {config(1, make_revision(2, 1)), target("old", "10.0.0.1:1", "ready", make_revision(2, 40))}, 2),
        at_ms(5'000));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"new"});
}

// Guards against a target that has left and is in use again because its withholding ended in an earlier era.
TEST_CASE("the withholding of a target begins anew with each restoration") {
    auto state = make_state();
    auto before = full_read({config(1, make_revision(1, 1)), target_at("ready", make_revision(1, 2), 7)});
    before.revision = make_revision(1, 2);
    apply_store_update(state, before, at_ms(0));
    apply_store_update(state, changes_only({{"servers/t1", std::nullopt}}), at_ms(100));
    for (const std::uint64_t era : {2, 3}) {
        apply_store_update(
            state,
            restored_read({config(1, make_revision(era, 1)), target_at("ready", make_revision(era, 2), 7)},
                          era),
            at_ms(static_cast<std::int64_t>(era) * 4'000));
    }
    expire_targets(state, at_ms(16'700));
    CHECK(usable_target_ids(state).empty());
    expire_targets(state, at_ms(16'900));
    CHECK(usable_target_ids(state).size() == 1);
}

struct restored_move_case {
    const char* name;
    /// What the copy holds, and what is read a second later.
    std::vector<store_change> in_copy;
    std::vector<store_change> later;
    bool is_open;
    /// The record that is written again; an empty id for none.
    std::string written_id;
    std::uint64_t expected = 0;
    std::uint64_t written_sequence = 0;
};

// Guards against a completed rollout that a restored store starts anew, reports as running, or forgets.
TEST_CASE("a restored store does not undo a rollout") {
    const auto copied_order = order_at(make_revision(2, 3));
    const auto test = GENERATE_COPY(from_range(std::vector<restored_move_case>{
        {"the same record",
         {copied_order, record_at("s@3", move_phase::landed, 4, make_revision(2, 7))},
         {},
         true,
         ""},
        {"an earlier record",
         {copied_order, record_at("s@3", move_phase::canary, 2, make_revision(2, 5))},
         {},
         true,
         "s@3",
         make_revision(2, 5),
         5},
        {"no record", {copied_order}, {}, true, "s@3", 0, 5},
        {"the record of an earlier order",
         {copied_order, record_at("s@1", move_phase::reverted, 9, make_revision(2, 2))},
         {},
         true,
         "s@3",
         make_revision(2, 2),
         5},
        {"neither record nor order, the order is written again",
         {},
         {order_at(make_revision(2, 11))},
         true,
         "s@11",
         0,
         5},
        {"neither record nor order, for good", {}, {}, false, ""},
        {"an earlier order, the lost one is written again",
         {order_of("v1", make_revision(2, 2))},
         {order_at(make_revision(2, 11))},
         true,
         "s@11",
         0,
         5},
        {"an earlier order, for good", {order_of("v1", make_revision(2, 2))}, {}, false, ""},
        {"another process has written the record again",
         {copied_order},
         {record_at("s@3", move_phase::landed, 5, make_revision(2, 12))},
         true,
         ""},
    }));
    CAPTURE(test.name);
    auto state = make_state();
    state.moves.write_rank = 0;
    auto before = full_read({config(1, make_revision(1, 1)), order_at(make_revision(1, 3)),
                             record_at("s@3", move_phase::landed, 4, make_revision(1, 7))});
    before.revision = make_revision(1, 8);
    apply_store_update(state, before, at_ms(0));
    REQUIRE(view_of(state)->splits.at("s").share == 1.0);

    auto copy = test.in_copy;
    copy.push_back(config(1, make_revision(2, 1)));
    apply_store_update(state, restored_read(copy, 2), at_ms(5'000));
    apply_store_update(state, changes_only(test.later), at_ms(6'000));
    std::vector<move_write> writes;
    plan_moves(state, at_ms(6'000), wall_time(milliseconds(6'000)), writes);
    CHECK(writes.size() == (test.written_id.empty() ? 0 : 1));
    if (!writes.empty()) {
        CHECK(writes[0].record.id == test.written_id);
        CHECK(writes[0].record.phase == move_phase::landed);
        CHECK(writes[0].record.sequence == test.written_sequence);
        CHECK(writes[0].expected == test.expected);
    }
    expire_targets(state, at_ms(7'300));
    const auto splits = view_of(state)->splits;
    CHECK((splits.count("s") == 1 && splits.at("s").share == 1.0) == test.is_open);
}

struct lost_quarantine_case {
    const char* name;
    bool is_in_copy;
    /// Whether another process has written it again after a second.
    bool is_written_by_other;
    std::size_t write_rank;
    /// When it is checked what this process writes.
    std::int64_t checked_at_ms;
    std::size_t writes;
};

// Guards against crashing prompts that are run again by a process which starts after the store has lost their
// quarantine, and against one write by each process of the fleet.
TEST_CASE("quarantines that a restored store lacks are written again") {
    const auto test = GENERATE(from_range(std::vector<lost_quarantine_case>{
        {"in the copy", true, false, 0, 9'000, 0},
        {"lost", false, false, 0, 5'000, 1},
        {"lost, not this process's turn yet", false, false, 5, 6'900, 0},
        {"lost, nobody else writes", false, false, 5, 7'000, 1},
        {"lost, another process writes", false, true, 5, 7'000, 0},
    }));
    CAPTURE(test.name);
    const auto put = platform::make_documents().encode_quarantine({"s", {"part"}});
    const auto stored = [&put](std::uint64_t revision) {
        return store_change{put.key, store_value{put.value, revision}};
    };
    auto state = make_state();
    state.moves.write_rank = test.write_rank;
    auto before = full_read({config(1, make_revision(1, 1)), stored(make_revision(1, 4))});
    before.revision = make_revision(1, 4);
    apply_store_update(state, before, at_ms(0));
    std::vector<store_change> copy{config(1, make_revision(2, 1))};
    if (test.is_in_copy) {
        copy.push_back(stored(make_revision(2, 4)));
    }
    apply_store_update(state, restored_read(copy, 2), at_ms(5'000));
    if (test.is_written_by_other) {
        apply_store_update(state, changes_only({stored(make_revision(2, 11))}), at_ms(6'000));
    }
    std::vector<quarantine_record> writes;
    take_lost_quarantines(state, at_ms(test.checked_at_ms), writes);
    CHECK(writes.size() == test.writes);
    CHECK(view_of(state)->quarantines.count(put.key) == 1);
    writes.clear();
    take_lost_quarantines(state, at_ms(60'000), writes);
    CHECK(writes.size() == (test.writes == 0 && !test.is_in_copy && !test.is_written_by_other ? 1 : 0));
}

struct odd_entry_case {
    const char* name;
    std::string id;
    std::string value;
};

std::string entry_with(const std::string& fields) {
    return R"({"Service":"s","Zone":"a","State":"ready",)" + fields + "}";
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against an odd entry of another writer that ends the process, is used as a target or hides the
// others.
TEST_CASE("an entry that cannot be decoded names no target") {
    const std::string address = R"("Address":"10.0.0.1:1")";
    const auto test = GENERATE_COPY(from_range(std::vector<odd_entry_case>{
        {"empty", "t1", ""},
        {"no text", "t1", "\xff\xfe"},
        {"a list", "t1", "[]"},
        {"no fields", "t1", "{}"},
        {"service is a number", "t1", R"({"Service":7,"Address":"10.0.0.1:1","Zone":"a","State":"ready"})"},
        {"unknown state", "t1", R"({"Service":"s","Address":"10.0.0.1:1","Zone":"a","State":"asleep"})"},
        {"no address", "t1", R"({"Service":"s","Zone":"a","State":"ready"})"},
        {"port out of range", "t1", entry_with(R"("Address":"10.0.0.1:65536")")},
        {"port 0", "t1", entry_with(R"("Address":"10.0.0.1:0")")},
        {"negative port", "t1", entry_with(R"("Address":"10.0.0.1:-1")")},
        {"no port", "t1", entry_with(R"("Address":"10.0.0.1")")},
        {"a host name", "t1", entry_with(R"("Address":"server:80")")},
        {"an address of many parts", "t1", entry_with(R"("Address":"10.0.0.1.2:80")")},
        {"a line break in the address", "t1", entry_with(R"("Address":"10.0.0.1:80\r\nX: y")")},
        {"number beyond any type", "t1", entry_with(address + R"(,"Seq":1e999)")},
        {"start beyond 64 bits", "t1", entry_with(address + R"(,"born":1e30)")},
        {"start beyond 63 bits", "t1", entry_with(address + R"(,"born":18446744073709551615)")},
        {"deeply nested", "t1", nested(100'000)},
        {"deeply nested field", "t1", entry_with(address + R"(,"x":)" + nested(100'000))},
        {"deeply nested, cut off", "t1", std::string(100'000, '[')},
        {"an id that ends a header field", "t\r\n1", entry_with(address)},
        {"an id with a space", "t 1", entry_with(address)},
    }));
    CAPTURE(test.name);
    auto state = make_state();
    apply_store_update(state,
                       full_read({config(1, 1),
                                  {"servers/" + test.id, store_value{test.value, 2}},
                                  {"servers/t2", store_value{entry_with(R"("Address":"10.0.0.2:1")"), 3}}}),
                       at_ms(0));
    CHECK(usable_target_ids(state) == std::vector<std::string>{"t2"});
    CHECK(view_of(state)->table);
}

struct stored_quarantine_case {
    const char* name;
    std::string value;
    bool is_removed;
    std::size_t known;
};

// Guards against a stored quarantine that is not in force, or that outlives its record, and against a
// malformed one that crashes the process.
TEST_CASE("a view holds the quarantines that the store lists") {
    const auto documents = platform::make_documents();
    const auto put = documents.encode_quarantine({"s", {"a", "x"}});
    CHECK(put.key == documents.encode_quarantine({"s", {"a", "x"}}).key);
    CHECK(put.key != documents.encode_quarantine({"s", {"x"}}).key);
    const auto test = GENERATE_COPY(from_range(std::vector<stored_quarantine_case>{
        {"listed", put.value, false, 1},
        {"its lease has ended", put.value, true, 0},
        {"no parts", R"({"service":"s","parts":[]})", false, 0},
        {"not JSON", "{", false, 0},
        {"another type", R"({"service":"s","parts":"a"})", false, 0},
    }));
    CAPTURE(test.name);
    auto state = make_state();
    apply_store_update(state, full_read({config(1, 1), {put.key, store_value{test.value, 2}}}), at_ms(0));
    if (test.is_removed) {
        CHECK(view_of(state)->quarantines.size() == 1);
        apply_store_update(state, changes_only({{put.key, std::nullopt}}), at_ms(1));
    }
    const auto view = view_of(state);
    REQUIRE(view->quarantines.size() == test.known);
    if (test.known > 0) {
        CHECK(view->quarantines.begin()->second == quarantine_record{"s", {"a", "x"}});
    }
}

// Guards against a process that accepts API keys for longer than the configuration's last confirmation
// allows.
TEST_CASE("only successful calls confirm the configuration") {
    auto state = make_state();
    auto update = full_read({config(1, 1)});
    update.confirmed = std::chrono::seconds(50);
    apply_store_update(state, update, at_ms(0));
    apply_store_update(state, failure(), at_ms(1));
    CHECK(view_of(state)->table_confirmed == std::chrono::seconds(50));
    CHECK(are_api_keys_trusted(std::chrono::seconds(50), std::chrono::seconds(55), std::chrono::seconds(5)));
    CHECK_FALSE(are_api_keys_trusted(std::chrono::seconds(50), std::chrono::milliseconds(55'001),
                                     std::chrono::seconds(5)));
}

} // namespace

} // namespace lovage
