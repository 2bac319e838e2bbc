#include "lovage/adapters/http_server.h"
#include "lovage/adapters/settings.h"
#include "lovage/core/error_kind.h"
#include "lovage/core/ids.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

// Guards against a table in the wrong order, which would report one error kind with the entry of another.
TEST_CASE("each error kind maps to its own table entry") {
    for (std::size_t i = 0; i < k_error_kind_count; ++i) {
        const auto kind = static_cast<error_kind>(i);
        CHECK(error_properties_of(kind).kind == kind);
        CHECK(value_of<error_kind>(k_error_kind_names, to_string(kind)) == kind);
        CHECK(http_status(kind) >= 400);
    }
}

// Guards against idempotency keys of different organisations that map to the same request id.
TEST_CASE("request ids distinguish organisation and key") {
    CHECK(request_id::from_key("ab", "c") != request_id::from_key("a", "bc"));
    CHECK(request_id::from_key("a", "b") == request_id::from_key("a", "b"));
}

struct id_case {
    const char* text;
    bool valid;
};

// Guards against ids of callers that are accepted in a form other than the one the system writes.
TEST_CASE("request ids are parsed strictly") {
    const auto test = GENERATE(from_range(std::vector<id_case>{
        {"00000000000000010000000000000002", true},
        {"0000000000000001000000000000000", false},
        {"0000000000000001000000000000000g", false},
        {"000000000000000A0000000000000002", false},
        {"-000000000000001000000000000000f", false},
        {"", false},
    }));
    const auto parsed = request_id::parse(test.text);
    CHECK(parsed.has_value() == test.valid);
    if (parsed) {
        CHECK(parsed->to_string() == test.text);
    }
}

struct settings_case {
    const char* text;
    const char* error_prefix;
};

// Guards against an invalid setting that is ignored, or reported without its location.
TEST_CASE("settings errors name file, line and key") {
    const auto test = GENERATE(from_range(std::vector<settings_case>{
        {"[listen]\nport = 80\nextra = 1\n", "t.toml:3: listen.extra"},
        {"[listen]\nport = \"80\"\n", "t.toml:2: listen.port"},
        {"[listen]\nport = 70000\n", "t.toml:2: listen.port"},
        {"", "t.toml: listen.port"},
        {"[listen]\nport = 80\naddress = \"localhost:1\"\n", "t.toml:3: listen.address"},
        {"[listen\n", "t.toml:1:"},
        {"[listen]\nport = 80\n", ""},
    }));
    auto reader = settings_reader::parse(test.text, "t.toml");
    std::string detail;
    if (!reader) {
        detail = reader.error().detail;
    } else {
        reader->required_integer("listen.port", 1, 65'535);
        reader->address("listen.address", "127.0.0.1:1");
        const auto finished = reader->finish();
        detail = finished ? "" : finished.error().detail;
    }
    CAPTURE(detail);
    CHECK(detail.substr(0, std::string(test.error_prefix).size()) == test.error_prefix);
    CHECK(detail.empty() == std::string(test.error_prefix).empty());
}

} // namespace

} // namespace lovage
