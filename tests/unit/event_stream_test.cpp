#include "standins/event_stream.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage::standins {

struct stream_case {
    const char* bytes;
    std::vector<stream_event> events;
};

// Guards against events that are lost or merged when the bytes arrive in pieces that split lines or events.
TEST_CASE("the parsed events do not depend on how the bytes are split") {
    const auto test = GENERATE(from_range(std::vector<stream_case>{
        {"event: token\ndata: {\"index\": 0}\nid: a:1\n\n", {{"token", "{\"index\": 0}", "a:1"}}},
        {"event: a\ndata: 1\n\nevent: b\ndata: 2\n\n", {{"a", "1", ""}, {"b", "2", ""}}},
        {": keep-alive\n\nevent: a\r\ndata: 1\r\n\r\n", {{"a", "1", ""}}},
        {"data: 1\ndata: 2\n\n", {{"", "1\n2", ""}}},
        {"event:a\ndata:1\n\nevent: unfinished\ndata: 2\n", {{"a", "1", ""}}},
    }));
    const std::string bytes = test.bytes;
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
        CAPTURE(test.bytes, piece);
        event_stream stream;
        std::vector<stream_event> events;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            append(stream, std::string_view(bytes).substr(at, piece));
            while (auto event = next_event(stream)) {
                events.push_back(*event);
            }
        }
        REQUIRE(events.size() == test.events.size());
        for (std::size_t i = 0; i < events.size(); ++i) {
            CHECK(events[i].type == test.events[i].type);
            CHECK(events[i].data == test.events[i].data);
            CHECK(events[i].id == test.events[i].id);
        }
    }
}

} // namespace lovage::standins
