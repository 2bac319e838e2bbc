#include "control_exchange.h"

#include <algorithm>

namespace lovage {

namespace {

constexpr std::size_t k_nodes = 7;

std::string name_at(std::size_t index) {
    return "n" + std::to_string(index);
}

// Entries n0 to n6; the first three are in zone ua-a, the others in ua-b.
control_exchange make_cluster(std::uint64_t seed, std::size_t count = k_nodes) {
    control_exchange exchange(seed);
    for (std::size_t i = 0; i < count; ++i) {
        exchange.add(name_at(i), i < count / 2 ? "ua-a" : "ua-b", {name_at(0), name_at(1)});
    }
    exchange.run_for(milliseconds{3'000});
    return exchange;
}

std::size_t count_state(const control_exchange& exchange, const node_id& subject, member_state expected) {
    std::size_t count = 0;
    for (const auto& [name, node] : exchange.nodes) {
        count += name != subject && exchange.state_at(name, subject) == expected ? 1 : 0;
    }
    return count;
}

bool all_agree(const control_exchange& exchange, member_state expected) {
    return std::all_of(exchange.nodes.begin(), exchange.nodes.end(), [&](const auto& subject) {
        return count_state(exchange, subject.first, expected) == exchange.nodes.size() - 1;
    });
}

struct failure_case {
    const char* name;
    // Whether a datagram is delivered while the failure lasts; n1 is the member whose state is checked.
    bool (*link)(const node_id& from, const node_id& to);
    bool pause;
    milliseconds duration;
    // State of n1 as seen by the other nodes at the end of the failure.
    member_state expected;
};

bool passes_all(const node_id& /*from*/, const node_id& /*to*/) {
    return true;
}
bool cuts_n1_to_n2(const node_id& from, const node_id& to) {
    return !(from == "n1" && to == "n2");
}
bool cuts_from_n1(const node_id& from, const node_id& /*to*/) {
    return from != "n1";
}
bool cuts_to_n1(const node_id& /*from*/, const node_id& to) {
    return to != "n1";
}
bool cuts_between_halves(const node_id& from, const node_id& to) {
    return (from < "n3") == (to < "n3");
}

// Guards against members that never discover each other, and against datagrams above the size limit.
TEST_CASE("nodes that know two seeds discover all others") {
    const auto count = GENERATE(from_range(std::vector<std::size_t>{2, 7, 40}));
    const auto exchange = make_cluster(11, count);
    CHECK(all_agree(exchange, member_state::alive));
    CHECK(exchange.largest_datagram <= k_max_datagram_bytes);
}

// Guards against live members that are declared dead, failed ones that are still considered alive, and
// members that are not alive again after the failure.
TEST_CASE("failures are detected and members rejoin") {
    const auto test = GENERATE(from_range(std::vector<failure_case>{
        {"one link in one direction", cuts_n1_to_n2, false, milliseconds{20'000}, member_state::alive},
        {"a short pause is refuted", passes_all, true, milliseconds{1'500}, member_state::alive},
        {"a long pause", passes_all, true, milliseconds{10'000}, member_state::dead},
        {"silent but listening", cuts_from_n1, false, milliseconds{10'000}, member_state::dead},
        {"sends but receives nothing", cuts_to_n1, false, milliseconds{10'000}, member_state::dead},
    }));
    const auto seed = GENERATE(range(1U, 6U));
    CAPTURE(test.name, seed);
    auto exchange = make_cluster(seed);
    exchange.link = test.link;
    exchange.nodes.at("n1").is_paused = test.pause;
    exchange.run_for(test.duration);
    const bool was_dead = count_state(exchange, "n1", member_state::dead) > 0;
    CHECK(was_dead == (test.expected == member_state::dead));
    if (was_dead) {
        CHECK(count_state(exchange, "n1", member_state::dead) == k_nodes - 1);
    }
    exchange.link = passes_all;
    if (test.pause) {
        exchange.resume("n1");
    }
    exchange.run_for(milliseconds{10'000});
    CHECK(all_agree(exchange, member_state::alive));
}

// Guards against a process that was paused and takes the missing acks of that time for failures of all
// others.
TEST_CASE("a process that was paused declares nobody dead when it resumes") {
    auto exchange = make_cluster(3);
    exchange.nodes.at("n1").is_paused = true;
    exchange.run_for(milliseconds{60'000});
    exchange.resume("n1");
    for (int i = 0; i < 100; ++i) {
        exchange.run_for(milliseconds{50});
        for (std::size_t other = 0; other < k_nodes; ++other) {
            CHECK(exchange.state_at("n1", name_at(other)) != member_state::dead);
        }
    }
}

// Guards against halves of a cluster that do not rejoin after the partition between them has healed.
TEST_CASE("two halves of a healed partition rejoin") {
    const auto [seconds, seed] = GENERATE(from_range(std::vector<std::pair<int, std::uint64_t>>{
        {5, 1}, {5, 2}, {5, 3}, {60, 1}, {60, 2}, {60, 3}, {3'600, 1}}));
    CAPTURE(seconds, seed);
    auto exchange = make_cluster(seed);
    exchange.link = cuts_between_halves;
    exchange.run_for(std::chrono::seconds{seconds});
    CHECK(exchange.state_at("n0", "n5") == member_state::dead);
    CHECK(exchange.state_at("n5", "n0") == member_state::dead);
    CHECK(exchange.state_at("n0", "n1") == member_state::alive);
    exchange.link = passes_all;
    exchange.run_for(milliseconds{10'000});
    CHECK(all_agree(exchange, member_state::alive));
}

// Guards against a leaving process that still gets work after 3 s or is considered failed.
TEST_CASE("a leaving process is seen as leaving, then as left") {
    const auto seed = GENERATE(range(1U, 6U));
    auto exchange = make_cluster(seed);
    exchange.post("n2", leave_event{});
    exchange.run_for(milliseconds{1'000});
    CHECK(count_state(exchange, "n2", member_state::leaving) == k_nodes - 1);
    control_output output;
    control_announce_departure(exchange.nodes.at("n2").state, exchange.now, output);
    for (const auto& datagram : output.datagrams) {
        exchange.post(datagram.address, datagram_event{datagram.message, "n2"});
    }
    exchange.nodes.at("n2").is_paused = true;
    exchange.run_for(milliseconds{10'000});
    CHECK(count_state(exchange, "n2", member_state::left) == k_nodes - 1);
}

struct restart_case {
    const char* name;
    incarnation restart_incarnation;
    bool leaves_first;
};

// Guards against a restarted node that others keep as dead or left, also when its clock went back.
TEST_CASE("a restarted node is alive again") {
    const auto test = GENERATE(from_range(std::vector<restart_case>{
        {"newer incarnation", 9, false},
        {"newer incarnation after leaving", 9, true},
        {"older incarnation", 2, false},
    }));
    CAPTURE(test.name);
    control_exchange exchange(5);
    for (std::size_t i = 0; i < k_nodes; ++i) {
        exchange.add(name_at(i), "ua-a", {name_at(0), name_at(1)}, node_role::entry, 5);
    }
    exchange.run_for(milliseconds{3'000});
    if (test.leaves_first) {
        exchange.post("n3", leave_event{});
        exchange.run_for(milliseconds{1'000});
    }
    exchange.nodes.at("n3").is_paused = true;
    exchange.run_for(milliseconds{10'000});
    exchange.add("n3", "ua-a", {name_at(0), name_at(1)}, node_role::entry, test.restart_incarnation);
    exchange.run_for(milliseconds{5'000});
    CHECK(all_agree(exchange, member_state::alive));
}

struct gap_case {
    const char* name;
    milliseconds gap;
    member_state expected;
};

// Guards against a process that declares a suspected member dead right after its own pause, without leaving
// it time to refute.
TEST_CASE("the suspicion timeout does not run during a pause of the observer") {
    const auto test = GENERATE(from_range(std::vector<gap_case>{
        {"within the suspicion timeout", milliseconds{900}, member_state::suspect},
        {"a pause", milliseconds{60'000}, member_state::suspect},
    }));
    CAPTURE(test.name);
    std::mt19937_64 random(1);
    time_point now{std::chrono::seconds{10}};
    member_info self;
    self.node = "self";
    membership_state state = make_membership(self, {}, now);
    gossip_message message;
    message.sender.node = "peer";
    member_info suspected;
    suspected.node = "x";
    membership_output output;
    for (const auto at : {member_state::alive, member_state::suspect}) {
        suspected.state = at;
        message.updates = {suspected};
        membership_receive(state, message, "peer", now, random, output);
    }
    now += test.gap;
    membership_tick(state, now, random, output);
    CHECK(state.members.at("x").info.state == test.expected);
    for (int i = 0; i < 5; ++i) {
        now += milliseconds{500};
        membership_tick(state, now, random, output);
    }
    CHECK(state.members.at("x").info.state == member_state::dead);
}

struct update_case {
    const char* name;
    member_info known;
    member_info update;
    member_state expected;
};

member_info subject(incarnation number, std::uint32_t refutations, member_state state) {
    member_info member;
    member.node = "x";
    member.incarnation = number;
    member.refutations = refutations;
    member.state = state;
    return member;
}

// Guards against an outdated update that overrides a newer one.
TEST_CASE("updates are ordered by incarnation, refutations and state") {
    const auto test = GENERATE(from_range(std::vector<update_case>{
        {"suspect over alive", subject(1, 0, member_state::alive), subject(1, 0, member_state::suspect),
         member_state::suspect},
        {"alive not over suspect", subject(1, 0, member_state::suspect), subject(1, 0, member_state::alive),
         member_state::suspect},
        {"refutation", subject(1, 0, member_state::suspect), subject(1, 1, member_state::alive),
         member_state::alive},
        {"old suspicion", subject(1, 1, member_state::alive), subject(1, 0, member_state::dead),
         member_state::alive},
        {"alive not over dead", subject(1, 0, member_state::dead), subject(1, 0, member_state::alive),
         member_state::dead},
        {"new incarnation over left", subject(1, 3, member_state::left), subject(2, 0, member_state::alive),
         member_state::alive},
        {"old incarnation after left", subject(2, 0, member_state::left), subject(1, 9, member_state::alive),
         member_state::left},
        {"suspicion does not hide leaving", subject(1, 1, member_state::leaving),
         subject(1, 1, member_state::suspect), member_state::leaving},
        {"left over leaving", subject(1, 1, member_state::leaving), subject(1, 2, member_state::left),
         member_state::left},
    }));
    CAPTURE(test.name);
    std::mt19937_64 random(1);
    const time_point now{std::chrono::seconds{10}};
    member_info self = subject(1, 0, member_state::alive);
    self.node = "self";
    membership_state state = make_membership(self, {}, now);
    member_info present = test.known;
    present.state = member_state::alive;
    membership_output output;
    gossip_message message;
    message.sender = subject(1, 0, member_state::alive);
    message.sender.node = "peer";
    for (const auto& update : {present, test.known, test.update}) {
        message.updates = {update};
        membership_receive(state, message, "peer", now, random, output);
    }
    CHECK(state.members.at("x").info.state == test.expected);
}

// Guards against control traffic above 17 KB/s per node. Counts the bytes that 40 nodes in steady state send
// and receive, with 28 bytes of headers per datagram.
TEST_CASE("steady state stays within the byte budget") {
    auto exchange = make_cluster(17, 40);
    exchange.run_for(milliseconds{20'000});
    exchange.bytes_sent = 0;
    exchange.run_for(milliseconds{10'000});
    const double per_node = static_cast<double>(exchange.bytes_sent) / 40.0 / 10.0 * 2.0;
    CAPTURE(per_node);
    CHECK(per_node < 17'000.0);
}

} // namespace

} // namespace lovage
