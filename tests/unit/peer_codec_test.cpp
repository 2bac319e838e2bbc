#include "lovage/adapters/peer_codec.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace lovage {

namespace {

const attempt_ref k_ref{{0xFFFFFFFFFFFFFFFFU, 2}, {3}, 4};

generation_spec make_spec() {
    generation_spec spec;
    spec.organisation = "dealer-1";
    spec.service = "history-summaries";
    spec.model = "history";
    spec.model_version = "v1";
    spec.adapter = "a";
    spec.prompt = "h\xC3\xA9llo";
    spec.max_tokens = 100;
    spec.sampling = {0x8000000000000001U, 0.7};
    spec.priority = priority::batch;
    spec.deadline = wall_time(milliseconds(1'765'000'000'123));
    return spec;
}

call_message make_call() {
    call_message call;
    call.request = k_ref.request;
    call.organisation = "dealer-1";
    call.service = "listings";
    call.method = "POST";
    call.path = "/listings";
    call.content_type = "application/json";
    call.body = std::string("\xFF\x00{}", 4);
    call.repeatable = false;
    call.bound_incarnation = 17;
    call.deadline = wall_time(milliseconds(5));
    return call;
}

load_report_message make_report() {
    load_report_message report;
    report.target = "engine-1";
    report.services = {"a", "b"};
    report.loaded = {{"history", "v1", ""}, {"history", "v2", "x"}};
    report.slots = 8;
    report.running = 7;
    report.queued = 1;
    report.age_ms = 250;
    report.engine_up = true;
    report.draining = true;
    report.highest_fencing = 9;
    report.tokens_total = 1ULL << 40U;
    return report;
}

// One message of each alternative of `peer_message`, in their order.
std::vector<peer_message> all_messages() {
    call_result_message call_result;
    call_result.request = k_ref.request;
    call_result.ok = true;
    call_result.status = 201;
    call_result.content_type = "text/plain";
    call_result.body = std::string("\x00\x80", 2);
    call_result.kind = error_kind::outcome_unknown;
    call_result.detail = "d";
    call_result.not_run = true;
    return {
        hello_message{1, "entry-1", 1'765'000'000'000, node_role::agent, "ub-a", "ub"},
        generate_message{k_ref, make_spec(), {" a", " b"}},
        tokens_message{k_ref, 7, {" c", ""}},
        finished_message{k_ref, 9, finish_reason::length},
        failed_message{k_ref, error_kind::target_busy, "full", true, 500},
        cancel_message{k_ref},
        progress_message{{{k_ref, 5}, {k_ref, 0}}},
        adopt_message{k_ref, make_spec(), {" t"}, true, finish_reason::length},
        adopt_reply_message{k_ref, true},
        attach_message{k_ref.request, make_spec(), 0xFFFFFFFFFFFFFFFFU, {8}, 2, 1, {" k"}},
        attach_reply_message{k_ref, "v1", 3},
        detach_message{k_ref.request},
        make_call(),
        call_result,
        make_report(),
        order_message{"o1", 3, order_kind::set_role, {"m", "v", "a"}, "decode"},
        order_result_message{"o1", false, error_kind::stale_fencing, "old"},
        goodbye_message{"entry-1"},
        evidence_message{{{"m", "v", "r", 1, 2, 3, 4}}},
    };
}

std::string encoded(const peer_message& message) {
    auto bytes = encode_peer_message(message);
    REQUIRE(bytes);
    return *bytes;
}

// Guards against a field that is lost or changed by encoding and decoding, and against an alternative without
// a codec.
TEST_CASE("each peer message is unchanged after encoding and decoding") {
    const auto messages = all_messages();
    REQUIRE(messages.size() == k_peer_message_count);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        CAPTURE(k_peer_message_names.at(i));
        REQUIRE(messages[i].index() == i);
        const std::string bytes = encoded(messages[i]);
        const auto decoded = decode_peer_message(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == i);
        // The encoding is canonical, so equal bytes mean equal fields.
        CHECK(encoded(*decoded) == bytes);
    }
}

// Guards against fields that the encoder omits, which comparing the encoded bytes does not detect.
TEST_CASE("decoded messages have the values that were sent") {
    const auto call = decode_peer_message(encoded(make_call()));
    REQUIRE(call);
    const auto& got = std::get<call_message>(*call);
    CHECK(got.body == make_call().body);
    CHECK(got.bound_incarnation == 17);
    CHECK(got.deadline == make_call().deadline);
    CHECK_FALSE(got.repeatable);

    const auto generate = decode_peer_message(encoded(generate_message{k_ref, make_spec(), {" a", " b"}}));
    REQUIRE(generate);
    const auto& run = std::get<generate_message>(*generate);
    CHECK(run.ref == k_ref);
    CHECK(spec_digest(run.spec) == spec_digest(make_spec()));
    CHECK(run.spec.model_version == "v1");
    CHECK(run.spec.priority == priority::batch);
    CHECK(run.accepted == std::vector<token>{" a", " b"});
}

struct malformed_case {
    const char* name;
    std::string bytes;
};

std::string nested(char head, std::size_t depth) {
    return std::string(depth, head);
}

// Guards against a malformed message that crashes the process or is accepted with fields missing.
TEST_CASE("malformed peer messages are refused") {
    const auto test = GENERATE(from_range(std::vector<malformed_case>{
        {"empty", ""},
        {"a number", "\x01"},
        {"an empty list", "\x80"},
        {"an unknown name", "\x82\x63"
                            "abc"
                            "\xA0"},
        {"no fields", "\x82\x67"
                      "goodbye"
                      "\xA0"},
        {"a field of a wrong type", "\x82\x67"
                                    "goodbye"
                                    "\xA1\x64"
                                    "node"
                                    "\x01"},
        {"fields as a list", "\x82\x67"
                             "goodbye"
                             "\x80"},
        {"a third element", "\x83\x67"
                            "goodbye"
                            "\xA1\x64"
                            "node"
                            "\x61"
                            "a"
                            "\x01"},
        {"trailing bytes", "\x82\x67"
                           "goodbye"
                           "\xA1\x64"
                           "node"
                           "\x61"
                           "a"
                           "\x01"},
        {"a text beyond the end", "\x7B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF"},
        {"a list beyond the end", "\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF"},
        {"a map of many", "\xBB\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF"},
        {"deeply nested lists", nested('\x81', 1'000'000)},
        {"deeply nested texts of indefinite length", nested('\x7F', 1'000'000)},
        {"deeply nested bytes of indefinite length", nested('\x5F', 1'000'000)},
        {"deeply nested tags", nested('\xC1', 1'000'000)},
        {"many items", "\x9A\x00\x20\x00\x00" + std::string(0x200000, '\x01')},
        {"too many bytes", "\x5A\x00\x80\x00\x00" + std::string(0x800000, 'x')},
    }));
    CAPTURE(test.name);
    const auto decoded = decode_peer_message(test.bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().kind == error_kind::protocol_error);
}

// Guards against a size limit that only the receiver enforces, by closing the connection.
TEST_CASE("messages above the size limit are not encoded") {
    const auto bytes = encode_peer_message(tokens_message{k_ref, 0, {std::string(5U << 20U, 'x')}});
    REQUIRE_FALSE(bytes);
    CHECK(bytes.error().kind == error_kind::request_too_large);
}

// Guards against a crash, or an error other than `protocol_error`, for corrupted input.
TEST_CASE("corrupted peer messages are decoded or refused, seed 7") {
    std::mt19937_64 random(7);
    constexpr int k_corrupted_per_message = 400;
    for (const auto& message : all_messages()) {
        const std::string whole = encoded(message);
        for (int i = 0; i < k_corrupted_per_message; ++i) {
            std::string bytes = whole;
            const auto changes = 1 + random() % 4;
            for (std::uint64_t change = 0; change < changes && !bytes.empty(); ++change) {
                const std::size_t at = random() % bytes.size();
                switch (random() % 4) {
                case 0:
                    bytes[at] = static_cast<char>(random());
                    break;
                case 1:
                    bytes.erase(at, 1 + random() % 8);
                    break;
                case 2:
                    bytes.insert(at, 1 + random() % 8, static_cast<char>(random()));
                    break;
                default:
                    bytes.resize(at);
                    break;
                }
            }
            const auto decoded = decode_peer_message(bytes);
            if (!decoded) {
                REQUIRE(decoded.error().kind == error_kind::protocol_error);
            }
        }
    }
}

} // namespace

} // namespace lovage
