#include "lovage/adapters/http_server.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/settings.h"
#include "support/free_port.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

/// A server whose only route answers with `answer`.
struct test_server {
    std::string address = free_address();
    std::unique_ptr<http_server> server;

    explicit test_server(const http_handler& answer, std::uint32_t idle_timeout_s = 60) {
        http_server_options options;
        options.port = parse_endpoint(address)->port;
        options.idle_timeout_s = idle_timeout_s;
        auto started = http_server::start(options, {{"GET", "/x", answer}});
        REQUIRE(started);
        server = std::move(*started);
    }

    result<http_client_response> get() const {
        http_client_request request;
        request.url = "http://" + address + "/x";
        request.timeout = milliseconds(10'000);
        return http_send(request);
    }
};

struct odd_answer_case {
    const char* name;
    int status;
    std::string content_type;
    int sent_status;
    std::string sent_type;
};

// Guards against a caller that gets no answer because the answer of a service has a content type or status
// that the HTTP library does not send.
TEST_CASE("an answer with an odd content type or status is sent") {
    const auto test = GENERATE(from_range(std::vector<odd_answer_case>{
        {"usual", 200, "text/plain", 200, "text/plain"},
        {"no content type", 200, "", 200, ""},
        {"line feed", 200, "text/plain\nX: y", 200, ""},
        {"carriage return", 200, "text/plain\r", 200, ""},
        {"tab", 200, "text/plain;\tcharset=utf-8", 200, "text/plain;\tcharset=utf-8"},
        {"bytes above ASCII", 200, "text/\xff\xfe", 200, "text/\xff\xfe"},
        {"status 0", 0, "text/plain", 502, "application/json"},
        {"status 99", 99, "text/plain", 502, "application/json"},
        {"status 101", 101, "text/plain", 502, "application/json"},
        {"status 199", 199, "text/plain", 502, "application/json"},
        {"status 1000", 1'000, "text/plain", 502, "application/json"},
        {"status 599", 599, "text/plain", 599, "text/plain"},
    }));
    CAPTURE(test.name);
    const test_server server([&test](const http_request& /*request*/) {
        http_response response;
        response.status = test.status;
        response.content_type = test.content_type;
        response.body = "body";
        return response;
    });
    const auto answer = server.get();
    REQUIRE(answer);
    CHECK(answer->status == test.sent_status);
    const auto type = answer->headers.find("Content-Type");
    CHECK((type == answer->headers.end() ? "" : type->second) == test.sent_type);
    CHECK((test.sent_status != test.status || answer->body == "body"));
}

struct slow_answer_case {
    const char* name;
    milliseconds duration;
    bool is_streamed;
};

// Guards against a caller whose connection counts as idle, and is closed, while its request is at work.
TEST_CASE("a request at work does not make its connection idle") {
    const auto test = GENERATE(from_range(std::vector<slow_answer_case>{
        {"within the idle time", milliseconds(100), false},
        {"longer than the idle time", milliseconds(2'500), false},
        {"stream that begins late", milliseconds(2'500), true},
    }));
    CAPTURE(test.name);
    const test_server server(
        [&test](const http_request& /*request*/) {
            std::this_thread::sleep_for(test.duration);
            http_response response;
            response.body = "body";
            if (test.is_streamed) {
                response.stream = http_stream{};
                response.stream->next = [is_done = false]() mutable {
                    return std::exchange(is_done, true) ? std::nullopt : std::optional<std::string>("body");
                };
            }
            return response;
        },
        1);
    const auto answer = server.get();
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "body");
}

// Guards against a process that ends because an exception leaves the function that produces a stream.
TEST_CASE("a stream whose source fails is broken off") {
    bool is_closed = false;
    {
        const test_server server([&is_closed](const http_request& /*request*/) {
            http_response response;
            response.stream = http_stream{};
            response.stream->next = []() -> std::optional<std::string> {
                throw std::runtime_error("no memory");
            };
            response.stream->on_close = [&is_closed] { is_closed = true; };
            return response;
        });
        CHECK_FALSE(server.get());
    }
    CHECK(is_closed);
}

} // namespace

} // namespace lovage
