#include "lovage/adapters/admin_http.h"
#include "lovage/adapters/caller_http.h"
#include "lovage/adapters/claim_store.h"
#include "lovage/adapters/config_document.h"
#include "lovage/adapters/engine_http.h"
#include "lovage/adapters/json_text.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/move_codec.h"
#include "lovage/adapters/status_document.h"
#include "lovage/adapters/store_http.h"
#include "support/odd_documents.h"
#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace lovage {

namespace {

using testing::odd_variants;
using testing::scripted_connection;
using testing::scripted_server;

struct decoder_case {
    const char* name;
    std::string sample;
    std::function<void(const std::string&)> decode;
};

const std::string k_config_document =
    R"({"operation":"o","author":"a","reason":"r","text":"","previous":1,"applied_ms":2})";
const std::string k_move =
    R"({"id":"m1","model":"m","from":"v1","to":"v2","phase":"canary","share":0.1,"fencing":1,"sequence":2,)"
    R"("deadline_ms":5,"reason":"r"})";

std::vector<decoder_case> decoders() {
    return {
        {"configuration document", k_config_document,
         [](const std::string& text) { static_cast<void>(decode_config_document(text)); }},
        {"move", k_move, [](const std::string& text) { static_cast<void>(decode_move_record(text)); }},
        {"claim", R"({"agent":"a","incarnation":1,"nonce":2})",
         [](const std::string& text) { static_cast<void>(decode_claim(text)); }},
        {"status",
         R"({"config_revision":7,"members":[{"node":"e","http_address":"1.2.3.4:5","state":"alive"}]})",
         [](const std::string& text) { static_cast<void>(decode_status(text)); }},
        {"answer for operators", R"({"requests":{"ended":1},"burn":[{"service":"s","burn_1h":0.5}]})",
         [](const std::string& text) { static_cast<void>(json_to_text(text)); }},
        {"request of a caller",
         R"({"service":"s","prompt":"p","max_tokens":1,"seed":2,"temperature":0.5,"adapter":"a","stream":true})",
         [](const std::string& text) {
             http_request request;
             request.headers["x-organisation"] = "o";
             request.body = text;
             static_cast<void>(read_generation_request(request, wall_now()));
         }},
    };
}

// Guards against a process that ends by itself because another one wrote a value of another type.
TEST_CASE("no document of the product throws when it is decoded") {
    const auto test = GENERATE(from_range(decoders()));
    CAPTURE(test.name);
    for (const auto& text : odd_variants(test.sample)) {
        CAPTURE(text.substr(0, 400));
        CHECK_NOTHROW(test.decode(text));
    }
}

// A server that gives each of its next `count` callers the same answer.
scripted_server make_server(const std::string& type, const std::string& body, std::size_t count) {
    const auto head = "HTTP/1.1 200 OK\r\nContent-Type: " + type +
                      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return scripted_server(
        std::vector<scripted_connection>(count, scripted_connection{{head + body}, false}));
}

struct answer_reader {
    const char* name;
    std::string sample;
    std::size_t calls;
    std::function<void(const std::string& address)> read;
};

void read_engine(const std::string& address) {
    metrics counters;
    engine_http_options options;
    options.address = address;
    options.load_interval = milliseconds(60'000);
    const auto engine = engine_http::create(options, counters);
    REQUIRE(engine);
    engine_stream stream;
    stream.on_token = [](token_index /*index*/, const std::string& /*text*/) { return true; };
    static_cast<void>((*engine)->port().generate({}, {}, {}, stream));
    static_cast<void>((*engine)->port().load());
}

std::vector<answer_reader> answer_readers() {
    const auto with_store = [](const std::function<void(const store_port&)>& use) {
        return [use](const std::string& address) {
            store_http_options options;
            options.address = address;
            use(make_store_http(options, {}));
        };
    };
    return {
        {"value of the store", R"({"value":"v","revision":3})", 2, with_store([](const store_port& store) {
             static_cast<void>(store.get("k"));
             static_cast<void>(store.watch("k", 1, milliseconds(0)));
         })},
        {"list of the store", R"({"items":[{"key":"k","value":"v","revision":3}]})", 1,
         with_store([](const store_port& store) { static_cast<void>(store.list("k", 10)); })},
        {"write of the store", R"({"revision":3,"lease":4})", 2, with_store([](const store_port& store) {
             static_cast<void>(store.compare_and_swap("k", "v", 1, 0));
             static_cast<void>(store.grant_lease(milliseconds(1)));
         })},
        {"configuration of a peer", R"({"revision":3,"document":"d"})", 1,
         [](const std::string& address) { static_cast<void>(fetch_config(address)); }},
        {"load of an engine",
         R"({"slots":1,"running":1,"queued":1,"age_ms":5,"loaded":[{"model":"m","version":"v","adapter":""}]})",
         3, read_engine},
    };
}

// Guards against a thread of a process that ends with the process on an odd answer of a server.
TEST_CASE("no answer of a server ends the process") {
    const auto test = GENERATE(from_range(answer_readers()));
    CAPTURE(test.name);
    for (const auto& text : odd_variants(test.sample)) {
        CAPTURE(text.substr(0, 400));
        const auto server = make_server("application/json", text, test.calls);
        CHECK_NOTHROW(test.read(server.address()));
    }
}

struct event_case {
    const char* name;
    const char* event;
    std::string sample;
};

// Guards against an event of an engine that ends the process or counts as a token or an end.
TEST_CASE("no event of an engine ends the process") {
    const auto test = GENERATE(from_range(std::vector<event_case>{
        {"token", "token", R"({"index":0,"text":"a"})"},
        {"end", "done", R"({"total":0,"reason":"stop"})"},
    }));
    CAPTURE(test.name);
    for (const auto& text : odd_variants(test.sample)) {
        CAPTURE(text.substr(0, 400));
        const auto server = make_server("text/event-stream",
                                        std::string("event: ") + test.event + "\ndata: " + text + "\n\n", 3);
        CHECK_NOTHROW(read_engine(server.address()));
    }
}

struct time_case {
    const char* name;
    std::string milliseconds;
    bool is_accepted;
};

// Guards against a deadline whose difference to another time overflows, so that a thread wakes up without
// end.
TEST_CASE("times of other processes are within the range of the clocks") {
    const auto test = GENERATE(from_range(std::vector<time_case>{
        {"epoch", "0", true},
        {"year 9999", "253370764800000", true},
        {"beyond the year 9999", "253370764800001", false},
        {"beyond 63 bits", "9223372036854775808", false},
        {"largest", "9223372036854775807", false},
        {"before the epoch", "-1", false},
        {"smallest", "-9223372036854775808", false},
        {"fraction", "0.5", false},
        {"beyond any integer", "1e300", false},
    }));
    CAPTURE(test.name);
    const auto with = [&test](std::string document, const std::string& name) {
        const auto at = document.find("\"" + name + "\":") + name.size() + 3;
        return document.replace(at, 1, test.milliseconds);
    };
    CHECK(decode_move_record(with(k_move, "deadline_ms")).has_value() == test.is_accepted);
    CHECK(decode_config_document(with(k_config_document, "applied_ms")).has_value() == test.is_accepted);
}

} // namespace

} // namespace lovage
