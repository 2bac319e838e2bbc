#include "lovage/adapters/sse_parser.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

struct sse_case {
    const char* name;
    std::string text;
    /// Events as "event=data".
    std::vector<std::string> expected;
};

// Feeds `text` in pieces of `size` bytes.
std::vector<std::string> parse(const std::string& text, std::size_t size) {
    sse_parser parser;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < text.size(); at += size) {
        const auto parsed = parser.feed(std::string_view(text).substr(at, size));
        REQUIRE(parsed);
        for (const auto& event : *parsed) {
            events.push_back(event.event + "=" + event.data);
        }
    }
    return events;
}

// Guards against events that are lost, truncated or merged when their bytes arrive in pieces.
TEST_CASE("server-sent events are parsed in pieces of any size") {
    const auto test = GENERATE(from_range(std::vector<sse_case>{
        {"one", "event: token\ndata: {}\n\n", {"token={}"}},
        {"two", "event: a\ndata: 1\n\nevent: b\ndata: 2\n\n", {"a=1", "b=2"}},
        {"carriage returns", "event: a\r\ndata: 1\r\n\r\nevent: b\rdata: 2\r\r", {"a=1", "b=2"}},
        {"lines of data", "data: 1\ndata: 2\n\n", {"=1\n2"}},
        {"only one space is removed", "data:  x\n\n", {"= x"}},
        {"comments and other fields", ": c\nid: 3\nretry: 1\nevent: a\ndata: 1\n\n", {"a=1"}},
        {"an event without data", "event: a\n\ndata: 1\n\n", {"=1"}},
        {"an unfinished event", "event: a\ndata: 1\n", {}},
        {"empty data", "event: a\ndata\n\n", {"a="}},
    }));
    CAPTURE(test.name);
    for (std::size_t size = 1; size <= test.text.size(); ++size) {
        CHECK(parse(test.text, size) == test.expected);
    }
}

struct bound_case {
    const char* name;
    std::string piece;
};

// Guards against unbounded memory for a line or an event that never ends.
TEST_CASE("server-sent events are bounded") {
    const auto test = GENERATE(from_range(std::vector<bound_case>{
        {"one line", std::string(50, 'x')},
        {"many lines of data", "data: 12345678901234567890\n"},
    }));
    CAPTURE(test.name);
    sse_parser parser(1'000);
    bool refused = false;
    for (int i = 0; i < 100 && !refused; ++i) {
        refused = !parser.feed(test.piece);
    }
    CHECK(refused);
}

} // namespace

} // namespace lovage
