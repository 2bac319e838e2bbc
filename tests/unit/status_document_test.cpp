#include "lovage/adapters/json_text.h"
#include "lovage/adapters/status_document.h"
#include "lovage/adapters/url_codec.h"
#include "lovage/core/config_progress.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct status_case {
    const char* name;
    const char* json;
    bool valid;
    config_revision revision;
    std::size_t members;
};

// A malformed status must not be taken as proof that the process has a configuration.
TEST_CASE("the status of a process is read only if it is valid") {
    const auto test = GENERATE(from_range(std::vector<status_case>{
        {"whole",
         R"({"config_revision":7,"members":[{"node":"e1","http_address":"1.2.3.4:5","state":"alive"}],"x":1})",
         true, 7, 1},
        {"no members", R"({"config_revision":7})", true, 7, 0},
        {"no revision", R"({"members":[]})", false, 0, 0},
        {"negative revision", R"({"config_revision":-7})", false, 0, 0},
        {"members of another type", R"({"config_revision":7,"members":{}})", false, 0, 0},
        {"member without node", R"({"config_revision":7,"members":[{"state":"alive"}]})", false, 0, 0},
        {"member of another type", R"({"config_revision":7,"members":[1]})", false, 0, 0},
        {"no JSON", "<html>", false, 0, 0},
    }));
    CAPTURE(test.name);
    const auto status = decode_status(test.json);
    REQUIRE(status.has_value() == test.valid);
    if (status) {
        CHECK(status->revision == test.revision);
        CHECK(status->members.size() == test.members);
    }
}

struct progress_case {
    std::optional<config_revision> revision;
    bool is_ready;
    config_progress expected;
};

// Waiting for a configuration must not end while a process still uses an older one.
TEST_CASE("a configuration is in force only in ready processes at its revision or a later one") {
    const auto test = GENERATE(from_range(std::vector<progress_case>{
        {7, true, config_progress::in_force},
        {8, true, config_progress::in_force},
        {6, true, config_progress::behind},
        {6, false, config_progress::behind},
        {0, false, config_progress::behind},
        {7, false, config_progress::not_ready},
        {std::nullopt, true, config_progress::unreachable},
    }));
    CHECK(progress_of(7, {test.revision, test.is_ready}) == test.expected);
}

struct state_case {
    const char* state;
    bool needed;
};

// Guards against a wait for members that will never respond, and against one that ignores members that still
// serve.
TEST_CASE("members that serve need the configuration") {
    const auto test = GENERATE(from_range(std::vector<state_case>{{"alive", true},
                                                                  {"suspect", true},
                                                                  {"dead", false},
                                                                  {"leaving", false},
                                                                  {"left", false},
                                                                  {"new", true}}));
    CHECK(needs_config(test.state) == test.needed);
}

struct text_case {
    const char* json;
    const char* expected;
};

// Guards against values of a JSON report that are missing in its text.
TEST_CASE("the whole JSON document is shown as text") {
    const auto test = GENERATE(from_range(std::vector<text_case>{
        {R"({"a":1,"b":"x"})", "a: 1\nb: x\n"},
        {R"({"a":{"b":true}})", "a:\n  b: true\n"},
        {R"({"m":[{"id":"x","share":0.02},{"id":"long","reason":"r"}]})",
         "m:\n  id    share  reason\n  x     0.02   -\n  long  -      r\n"},
        {R"({"a":[],"b":{},"c":[1,2]})", "a: []\nb: {}\nc: [1,2]\n"},
        {R"("x")", "x\n"},
        {"{", ""},
    }));
    CHECK(json_to_text(test.json).value_or("") == test.expected);
}

// Guards against keys that are changed, or split at a separator, when they are encoded as a path segment.
TEST_CASE("percent-encoding keeps every byte") {
    const auto text =
        GENERATE(from_range(std::vector<std::string>{"a/b", "a b+c%", "?&=#", "\xc3\xa9", "-_.~", ""}));
    const std::string encoded = url_encode(text);
    CAPTURE(encoded);
    CHECK(encoded.find_first_of("/ +?&=#") == std::string::npos);
    CHECK(url_decode(encoded) == text);
}

} // namespace

} // namespace lovage
