#include "lovage/core/call_check.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

fleet_config make_config() {
    fleet_config config;
    config.organisations.push_back({"dealer-1", 1.0, "standard"});
    service_config plain;
    plain.name = "listings";
    plain.kind = service_kind::plain;
    plain.non_repeatable = {{"POST", "/listings"}, {"DELETE", "/listings/"}};
    service_config model;
    model.name = "summaries";
    config.services = {plain, model};
    return config;
}

struct check_case {
    const char* name;
    std::string organisation;
    std::string service;
    std::string method;
    std::string path;
    bool accepted;
    error_kind kind;
    bool repeatable;
};

// Guards against a non-idempotent call that is classified as repeatable, also because its path is written in
// another form.
TEST_CASE("calls that the configuration lists as non-repeatable are not repeated") {
    const auto none = error_kind::internal;
    const auto test = GENERATE_COPY(from_range(std::vector<check_case>{
        {"listed", "dealer-1", "listings", "POST", "/listings", true, none, false},
        {"below a listed path", "dealer-1", "listings", "POST", "/listings/5/publish", true, none, false},
        {"listed with a trailing slash", "dealer-1", "listings", "POST", "/listings/", true, none, false},
        {"other method", "dealer-1", "listings", "GET", "/listings", true, none, true},
        {"other path", "dealer-1", "listings", "POST", "/lookup/1", true, none, true},
        {"not below the prefix", "dealer-1", "listings", "DELETE", "/listings", true, none, true},
        {"empty segment", "dealer-1", "listings", "POST", "//listings", false, error_kind::invalid_request,
         false},
        {"dot segment", "dealer-1", "listings", "POST", "/./listings", false, error_kind::invalid_request,
         false},
        {"parent segment", "dealer-1", "listings", "POST", "/a/../listings", false,
         error_kind::invalid_request, false},
        {"generation service", "dealer-1", "summaries", "GET", "/a", false, error_kind::unknown_service,
         false},
        {"unknown service", "dealer-1", "records", "GET", "/a", false, error_kind::unknown_service, false},
        {"unknown organisation", "dealer-9", "listings", "GET", "/a", false, error_kind::unknown_organisation,
         false},
    }));
    CAPTURE(test.name);
    call_message call;
    call.organisation = test.organisation;
    call.service = test.service;
    call.method = test.method;
    const auto checked = check_call(make_config(), test.path, call);
    REQUIRE(checked.has_value() == test.accepted);
    if (!checked) {
        CHECK(to_string(checked.error().kind) == to_string(test.kind));
    } else {
        CHECK(call.repeatable == test.repeatable);
    }
}

} // namespace

} // namespace lovage
