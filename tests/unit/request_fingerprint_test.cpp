#include "lovage/core/request_fingerprint.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct identity_case {
    const char* name;
    request_identity identity;
    bool is_same;
};

// Guards against repeats that are not recognised, and against sound requests that are taken for others.
TEST_CASE("requests are the same by host, method, path, organisation and body") {
    const request_identity original{"host", "POST", "/r/x?y", "org", "body"};
    const auto test = GENERATE(from_range(std::vector<identity_case>{
        {"same", {"host", "POST", "/r/x?y", "org", "body"}, true},
        {"host", {"other", "POST", "/r/x?y", "org", "body"}, false},
        {"method", {"host", "PUT", "/r/x?y", "org", "body"}, false},
        {"path", {"host", "POST", "/r/z?y", "org", "body"}, false},
        {"query", {"host", "POST", "/r/x?z", "org", "body"}, false},
        {"organisation", {"host", "POST", "/r/x?y", "other", "body"}, false},
        {"body", {"host", "POST", "/r/x?y", "org", "bodz"}, false},
        {"divided otherwise", {"host", "POST", "/r/x?yo", "rg", "body"}, false},
    }));
    CAPTURE(test.name);
    CHECK((fingerprint_of(original) == fingerprint_of(test.identity)) == test.is_same);
}

// Guards against processes of two builds that take one request for two.
TEST_CASE("the fingerprint of a request is the same in every build") {
    CHECK(format_fingerprint(fingerprint_of({"host", "POST", "/r/x?y", "org", "body"})) ==
          "dc612609d0a64331");
}

} // namespace

} // namespace lovage
