#include "control_exchange.h"

#include <algorithm>

namespace lovage {

namespace {

struct node_location {
    const char* node;
    const char* zone;
    node_role role;
};

const std::vector<node_location> k_locations{
    {"e1", "ua-a", node_role::entry}, {"e2", "ua-b", node_role::entry}, {"e3", "ua-c", node_role::entry},
    {"e4", "ua-a", node_role::entry}, {"e5", "ua-a", node_role::entry}, {"a1", "ua-a", node_role::agent},
    {"a2", "ua-b", node_role::agent}, {"a3", "ua-c", node_role::agent},
};

void add_node(control_exchange& exchange, const node_location& at, incarnation process_incarnation = 1) {
    exchange.add(at.node, at.zone, {"e1", "e2"}, at.role, process_incarnation);
}

control_exchange make_fleet(std::uint64_t seed, bool with_config) {
    control_exchange exchange(seed);
    if (with_config) {
        exchange.store.put("config/current", "first");
    }
    for (const auto& at : k_locations) {
        add_node(exchange, at);
    }
    exchange.run_for(milliseconds{5'000});
    return exchange;
}

bool all_have(const control_exchange& exchange, config_revision revision) {
    return std::all_of(exchange.nodes.begin(), exchange.nodes.end(), [revision](const auto& item) {
        return item.second.state.propagation.revision == revision;
    });
}

bool strictly_increases(const std::vector<config_revision>& revisions) {
    return std::is_sorted(revisions.begin(), revisions.end()) &&
           std::adjacent_find(revisions.begin(), revisions.end()) == revisions.end();
}

// Guards against a configuration change that does not reach every node in time, and against a node that
// reverts to an older revision.
TEST_CASE("a new revision is in force everywhere and never reverts") {
    const auto seed = GENERATE(range(1U, 6U));
    auto exchange = make_fleet(seed, true);
    exchange.duplicates = true;
    exchange.jitter = milliseconds{400};
    for (int change = 0; change < 10; ++change) {
        const auto revision = exchange.store.put("config/current", "change");
        exchange.run_for(milliseconds{2'000});
        CHECK(all_have(exchange, revision));
    }
    for (const auto& [name, node] : exchange.nodes) {
        CHECK(strictly_increases(node.revisions));
    }
}

struct restored_config_case {
    const char* name;
    // Whether the copy has the configuration at all.
    bool has_config;
    // When an operator writes another configuration after the restoration; negative for never.
    int written_after_ms;
    const char* expected;
    // How often the operator's other keys were written before the restoration and not since.
    int lost_changes;
};

// Guards against a configuration that comes back older from a restored store, against one that is lost, and
// against a new one that is not adopted because its number is lower than that of the lost one.
TEST_CASE("a restored store neither brings a configuration back nor hides a new one") {
    const auto test = GENERATE(from_range(std::vector<restored_config_case>{
        {"nothing is written", true, -1, "second", 0},
        {"nothing is written, no configuration", false, -1, "second", 0},
        {"a new one", true, 500, "third", 0},
        {"a new one with a lower number", true, 500, "third", 20},
        {"a new one, no configuration", false, 500, "third", 20},
        {"a new one after the lost one is restored", true, 20'000, "third", 20},
    }));
    const auto seed = GENERATE(range(1U, 4U));
    CAPTURE(test.name, seed);
    auto exchange = make_fleet(seed, true);
    if (!test.has_config) {
        exchange.store.items.erase("config/current");
    }
    const auto copy = exchange.store;
    const auto copied_at = exchange.now;
    for (int i = 0; i < test.lost_changes; ++i) {
        exchange.store.put("other", "lost");
    }
    const auto lost = exchange.store.put("config/current", "second");
    exchange.run_for(milliseconds{2'000});
    REQUIRE(all_have(exchange, lost));
    exchange.store.restore(copy, copied_at, exchange.now);
    if (test.written_after_ms >= 0) {
        exchange.run_for(milliseconds{test.written_after_ms});
        const auto written = exchange.store.put("config/current", "third@1");
        exchange.run_for(milliseconds{2'000});
        CHECK(all_have(exchange, written));
    }
    exchange.run_for(milliseconds{20'000});
    for (const auto& [name, node] : exchange.nodes) {
        CAPTURE(name);
        CHECK(node.state.copy->document.substr(0, node.state.copy->document.find('@')) == test.expected);
        CHECK(strictly_increases(node.revisions));
    }
    CHECK(exchange.store.items.at("config/current").value.value == std::string(test.expected) + "@1");
    exchange.run_for(milliseconds{5'000});
    const auto settled = exchange.store.items.at("config/current").value.revision;
    exchange.run_for(milliseconds{20'000});
    CHECK(exchange.store.items.at("config/current").value.revision == settled);
}

// Guards against a process that starts with the older configuration of a restored store, and against one that
// finds no peer and never starts.
TEST_CASE("a process that starts after a restoration asks its peers as well") {
    const bool has_peers = GENERATE(true, false);
    CAPTURE(has_peers);
    auto exchange = make_fleet(2, true);
    const auto copy = exchange.store;
    const auto copied_at = exchange.now;
    const auto lost = exchange.store.put("config/current", "second");
    exchange.run_for(milliseconds{2'000});
    exchange.store.restore(copy, copied_at, exchange.now);
    if (!has_peers) {
        exchange.nodes.clear();
    }
    auto& started = exchange.add("e9", "ua-a", {"e1"});
    exchange.run_for(milliseconds{2'000});
    if (has_peers) {
        REQUIRE_FALSE(started.revisions.empty());
        CHECK(started.revisions.front() == lost);
    }
    exchange.run_for(milliseconds{4'000});
    CHECK(started.state.propagation.phase == bootstrap_phase::ready);
}

struct late_reply_case {
    const char* name;
    io_purpose purpose;
};

// Guards against a delayed reply of a slow store or peer that reinstates an older configuration.
TEST_CASE("a late copy of an older revision is not adopted") {
    const auto test = GENERATE(from_range(std::vector<late_reply_case>{
        {"read at start", io_purpose::config_start},
        {"watch", io_purpose::config_watch},
        {"start peer", io_purpose::start_peer},
        {"pull", io_purpose::config_pull},
    }));
    CAPTURE(test.name);
    auto exchange = make_fleet(3, true);
    const config_revision old = exchange.nodes.at("e1").state.propagation.revision;
    const auto revision = exchange.store.put("config/current", "second");
    exchange.run_for(milliseconds{2'000});
    REQUIRE(all_have(exchange, revision));
    for (const config_revision late : {old, revision, old}) {
        io_event event;
        event.request.purpose = test.purpose;
        event.store.value = store_value{"first", late};
        event.copy = config_copy{late, "first"};
        exchange.post("e1", event);
        exchange.run_for(milliseconds{100});
    }
    CHECK(exchange.nodes.at("e1").state.propagation.revision == revision);
    CHECK(strictly_increases(exchange.nodes.at("e1").revisions));
    CHECK(exchange.nodes.at("e1").state.copy->document == "second");
    CHECK(exchange.nodes.at("e1").view->config->revision == revision);
}

// Guards against an invalid configuration that replaces the one in force.
TEST_CASE("an invalid revision is refused and a later valid one adopted") {
    auto exchange = make_fleet(1, true);
    const config_revision before = exchange.nodes.at("e1").state.propagation.revision;
    exchange.store.put("config/current", "invalid");
    exchange.run_for(milliseconds{3'000});
    CHECK(all_have(exchange, before));
    const auto after = exchange.store.put("config/current", "valid");
    exchange.run_for(milliseconds{3'000});
    CHECK(all_have(exchange, after));
}

// Guards against a process that starts without a configuration, or with the outdated one of a single zone.
TEST_CASE("a process that starts while the store is down adopts the highest revision of several zones") {
    const auto seed = GENERATE(range(1U, 6U));
    auto exchange = make_fleet(seed, true);
    exchange.store.is_down = true;
    // The zone of the new node has missed the last change.
    const config_revision newest = exchange.nodes.at("e2").state.propagation.revision + 10;
    for (const auto& name : {"e2", "e3", "a2", "a3"}) {
        auto& state = exchange.nodes.at(name).state;
        state.propagation.revision = newest;
        state.membership.facts.config_revision = newest;
        state.copy = std::make_shared<const config_copy>(config_copy{newest, "newest"});
    }
    auto& started = exchange.add("a9", "ua-a", {"e1"}, node_role::agent);
    exchange.run_for(milliseconds{5'000});
    CHECK(started.state.propagation.phase == bootstrap_phase::ready);
    REQUIRE_FALSE(started.revisions.empty());
    CHECK(started.revisions.front() == newest);
}

// Guards against readiness without a configuration, and against a start that stops retrying.
TEST_CASE("a process that finds no configuration stays not ready and retries") {
    control_exchange exchange(2);
    exchange.store.is_down = true;
    auto& alone = exchange.add("e1", "ua-a", {"e2"});
    exchange.run_for(milliseconds{30'000});
    CHECK(alone.view->config == nullptr);
    exchange.store.is_down = false;
    exchange.store.put("config/current", "first");
    exchange.run_for(milliseconds{5'000});
    CHECK(alone.view->config != nullptr);
}

struct leader_case {
    const char* name;
    bool pause;
    bool store_down;
    bool lose_answers;
    milliseconds duration;
    bool same_leader;
};

// Guards against two leaders at the same time, and against a leader that issues orders after its lease may
// have expired.
TEST_CASE("there is at most one leader and its term grows") {
    const auto test = GENERATE(from_range(std::vector<leader_case>{
        {"paused beyond its lease", true, false, false, milliseconds{12'000}, false},
        {"paused within its lease", true, false, false, milliseconds{1'000}, true},
        {"store down beyond the lease", false, true, false, milliseconds{12'000}, false},
        {"store down within the lease", false, true, false, milliseconds{2'000}, true},
        {"answers lost", false, false, true, milliseconds{10'000}, true},
    }));
    const auto seed = GENERATE(range(1U, 4U));
    CAPTURE(test.name, seed);
    auto exchange = make_fleet(seed, true);
    exchange.run_for(milliseconds{5'000});
    REQUIRE(exchange.leaders().size() == 1);
    const node_id first = exchange.leaders().front();
    const fencing_number term = exchange.nodes.at(first).state.leadership.term;
    exchange.nodes.at(first).is_paused = test.pause;
    exchange.store.is_down = test.store_down;
    exchange.store.loses_answers = test.lose_answers;
    const time_point end = exchange.now + test.duration;
    while (exchange.now < end) {
        exchange.run_for(milliseconds{50});
        CHECK(exchange.leaders().size() <= 1);
    }
    exchange.store.is_down = false;
    exchange.store.loses_answers = false;
    // A leader whose lease expired during the pause must not act on its old term, even before its first step.
    CHECK((test.same_leader || !is_leading(exchange.nodes.at(first).state.leadership, exchange.now)));
    if (test.pause) {
        exchange.resume(first);
    }
    for (int i = 0; i < 200; ++i) {
        exchange.run_for(milliseconds{50});
        CHECK(exchange.leaders().size() <= 1);
    }
    REQUIRE(exchange.leaders().size() == 1);
    const node_id last = exchange.leaders().front();
    const fencing_number last_term = exchange.nodes.at(last).state.leadership.term;
    CHECK((test.same_leader ? last_term == term : last_term > term));
    for (const auto& [name, node] : exchange.nodes) {
        CHECK(node.view->leader == last);
        CHECK(node.view->is_leader == (name == last));
    }
}

struct restored_leader_case {
    const char* name;
    // Age of the copy from which the store is restored.
    milliseconds age;
    bool is_leader_cut_off;
};

// Guards against two leaders, and against a term that is used twice, when a restored store has lost the
// leader's lease.
TEST_CASE("a restored store does not make a second leader or a second term") {
    const auto test = GENERATE(from_range(std::vector<restored_leader_case>{
        {"no claim in the copy", milliseconds{20'000}, false},
        {"no claim in the copy, leader cut off", milliseconds{20'000}, true},
        {"claim in the copy", milliseconds{2'000}, false},
        {"claim in the copy, leader cut off", milliseconds{2'000}, true},
    }));
    const auto seed = GENERATE(range(1U, 6U));
    CAPTURE(test.name, seed);
    control_exchange exchange(seed);
    exchange.store.put("config/current", "first");
    auto copy = exchange.store;
    auto copied_at = exchange.now;
    for (const auto& at : k_locations) {
        add_node(exchange, at);
    }
    exchange.run_for(milliseconds{20'000} - test.age);
    if (test.age < milliseconds{20'000}) {
        copy = exchange.store;
        copied_at = exchange.now;
    }
    exchange.run_for(test.age);
    REQUIRE(exchange.leaders().size() == 1);
    const node_id first = exchange.leaders().front();
    std::map<fencing_number, node_id> terms;
    terms[exchange.nodes.at(first).state.leadership.term] = first;
    exchange.store.restore(copy, copied_at, exchange.now);
    exchange.store_link = [&](const auto& node) { return !test.is_leader_cut_off || node != first; };
    for (int i = 0; i < 400; ++i) {
        exchange.run_for(milliseconds{50});
        const auto leaders = exchange.leaders();
        CHECK(leaders.size() <= 1);
        for (const auto& leader : leaders) {
            const auto term = exchange.nodes.at(leader).state.leadership.term;
            CHECK(terms.rbegin()->first <= term);
            CHECK(terms.emplace(term, leader).first->second == leader);
        }
    }
    CHECK(exchange.leaders().size() == 1);
    CHECK(terms.size() > 1);
}

// Guards against a leader key whose write succeeded without a reply and that then blocks every election.
TEST_CASE("a leader whose claim was not answered reads it back") {
    control_exchange exchange(8);
    exchange.store.put("config/current", "first");
    exchange.store.loses_answers = true;
    for (const auto& at : k_locations) {
        add_node(exchange, at);
    }
    exchange.run_for(milliseconds{8'000});
    CHECK(exchange.leaders().size() == 1);
}

// Guards against views that are published without a change.
TEST_CASE("a view is published only on change") {
    auto exchange = make_fleet(4, true);
    exchange.run_for(milliseconds{10'000});
    const std::uint64_t before = exchange.nodes.at("a1").view->sequence;
    exchange.run_for(milliseconds{60'000});
    CHECK(exchange.nodes.at("a1").view->sequence == before);
}

// Guards against a VM list that is ignored, so that a leaving VM keeps getting work. The list affects only
// the view of the process that read it.
TEST_CASE("the platform's VM list marks leaving members") {
    auto exchange = make_fleet(4, true);
    exchange.post("e1", vm_list_event{{{"a1", "", "ua-a", node_role::agent, vm_state::leaving}}});
    exchange.run_for(milliseconds{100});
    CHECK(exchange.state_at("e1", "a1") == member_state::leaving);
    CHECK(exchange.state_at("e2", "a1") == member_state::alive);
}

} // namespace

} // namespace lovage
