#include "lovage/adapters/gossip_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace lovage {

namespace {

member_info make_member(const std::string& name) {
    member_info member;
    member.node = name;
    member.incarnation = 1'764'000'000'000;
    member.refutations = 70'000;
    member.role = node_role::agent;
    member.zone = "ub-a";
    member.region = "ub";
    member.peer_address = "10.20.30.40:8201";
    member.http_address = "10.20.30.40:8101";
    member.gossip_address = "10.20.30.40:8301";
    member.state = member_state::leaving;
    return member;
}

gossip_message make_sample() {
    gossip_message message;
    message.kind = gossip_kind::ping_req;
    message.sequence = 0xFFFFFFFF;
    message.sender = make_member("entry-1");
    message.target = "agent-7";
    message.target_address = "10.20.30.41:8301";
    message.facts.config_revision = ~std::uint64_t{0};
    message.facts.leader = {900, "entry-2"};
    message.facts.vetoes = {"m1", "m2"};
    move_record record;
    record.id = "history-v2";
    record.model = "history";
    record.from = "v1";
    record.to = "v2";
    record.phase = move_phase::growing;
    record.share = 0.25;
    record.fencing = 900;
    record.sequence = 12;
    record.deadline = wall_time(milliseconds(1'764'842'400'000));
    record.reason = "enough good requests";
    message.facts.moves = {record};
    message.updates = {make_member("agent-1"), make_member("agent-2")};
    return message;
}

std::string to_text(const std::vector<std::uint8_t>& bytes) {
    return {bytes.begin(), bytes.end()};
}

// Guards against a field that is lost or decoded into another one.
TEST_CASE("a datagram is unchanged after encoding and decoding") {
    const gossip_message sent = make_sample();
    const auto bytes = encode_gossip(sent);
    CHECK(bytes.size() <= encoded_size_bound(sent));
    const auto received = decode_gossip(to_text(bytes));
    REQUIRE(received);
    CHECK(received->kind == sent.kind);
    CHECK(received->sequence == sent.sequence);
    CHECK(received->sender.node == sent.sender.node);
    CHECK(received->target == sent.target);
    CHECK(received->target_address == sent.target_address);
    CHECK(received->facts.config_revision == sent.facts.config_revision);
    CHECK(received->facts.leader.fencing == 900);
    CHECK(received->facts.leader.node == "entry-2");
    CHECK(received->facts.vetoes == sent.facts.vetoes);
    REQUIRE(received->facts.moves.size() == 1);
    CHECK(received->facts.moves[0].share == Approx(0.25));
    CHECK(received->facts.moves[0].deadline == sent.facts.moves[0].deadline);
    CHECK(received->facts.moves[0].reason == sent.facts.moves[0].reason);
    REQUIRE(received->updates.size() == 2);
    CHECK(received->updates[1].node == "agent-2");
    CHECK(received->updates[1].refutations == 70'000);
    CHECK(received->updates[1].state == member_state::leaving);
    // Encoding again gives the same bytes only if no field differs.
    CHECK(encode_gossip(*received) == bytes);
}

struct malformed_case {
    const char* name;
    // Changes the decoded document of a valid datagram.
    void (*change)(nlohmann::json& document);
};

// Guards against datagrams from the network whose values are accepted although they are out of range.
TEST_CASE("datagrams out of bounds are refused") {
    const auto test = GENERATE(from_range(std::vector<malformed_case>{
        {"other version", [](auto& document) { document[0] = 2; }},
        {"unknown kind", [](auto& document) { document[1] = 6; }},
        {"negative sequence", [](auto& document) { document[2] = -1; }},
        {"sequence too large", [](auto& document) { document[2] = std::uint64_t{1} << 32U; }},
        {"missing field", [](auto& document) { document.erase(10); }},
        {"extra field", [](auto& document) { document.push_back(1); }},
        {"object", [](auto& document) { document = nlohmann::json::object(); }},
        {"nameless sender", [](auto& document) { document[3][0] = ""; }},
        {"long name", [](auto& document) { document[3][0] = std::string(65, 'x'); }},
        {"unknown state", [](auto& document) { document[3][9] = 5; }},
        {"number as text", [](auto& document) { document[4] = 7; }},
        {"share above one", [](auto& document) { document[9][0][5] = 10'001; }},
        {"deadline overflow", [](auto& document) { document[9][0][8] = ~std::uint64_t{0}; }},
        {"updates no list", [](auto& document) { document[10] = 3; }},
        {"too large",
         [](auto& document) { document[8] = std::vector<std::string>(40, std::string(40, 'v')); }},
    }));
    CAPTURE(test.name);
    auto document = nlohmann::json::from_cbor(encode_gossip(make_sample()));
    test.change(document);
    const auto refused = decode_gossip(to_text(nlohmann::json::to_cbor(document)));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == error_kind::protocol_error);
}

// Guards against a crash on corrupted datagrams. If one can still be decoded, its values must be within
// bounds.
TEST_CASE("corrupted datagrams are refused or decoded within bounds") {
    const auto seed = GENERATE(range(1U, 21U));
    std::mt19937_64 random(seed);
    const auto valid = to_text(encode_gossip(make_sample()));
    for (int i = 0; i < 200; ++i) {
        std::string corrupted = valid;
        for (int change = 0; change < 3; ++change) {
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        }
        corrupted.resize(random() % (corrupted.size() + 1));
        const auto decoded = decode_gossip(corrupted);
        if (decoded) {
            CHECK(encode_gossip(*decoded).size() <= encoded_size_bound(*decoded));
        }
    }
}

} // namespace

} // namespace lovage
