#include "lovage/adapters/report_http.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

struct route_case {
    const char* name;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    int status;
    /// Text that the body must contain.
    std::string part;
};

// Guards against a report that omits a missed objective, names that are not escaped in the HTML page, and an
// explanation or a drain that succeeds for an unknown request, move or target.
TEST_CASE("operators get report, explanation and drain") {
    const auto test = GENERATE(from_range(std::vector<route_case>{
        {"requests", "GET", "/admin/report", {}, 200, R"("honoured":1)"},
        {"burn", "GET", "/admin/report", {}, 200, R"("missed_5min":1)"},
        {"store calls", "GET", "/admin/report", {}, 200, R"("store_calls":{"get":3.0})"},
        {"move", "GET", "/admin/report", {}, 200, R"("reason":"slow")"},
        {"page", "GET", "/admin/report", {{"format", "html"}}, 200, "<svg"},
        {"escaped name", "GET", "/admin/report", {{"format", "html"}}, 200, "a&lt;b"},
        {"request", "GET", "/admin/explain", {{"request", "00ff"}}, 200, "attempt 1 at x"},
        {"move by id", "GET", "/admin/explain", {{"move", "move-1"}}, 200, "reverted, m v1 -> v2"},
        {"unknown request", "GET", "/admin/explain", {{"request", "1"}}, 404, "not_found"},
        {"no subject", "GET", "/admin/explain", {}, 400, "invalid_request"},
        {"drain", "POST", "/admin/drain", {{"target", "engine-1"}}, 200, R"("agent":"agent-1")"},
        {"unknown target", "POST", "/admin/drain", {{"target", "engine-9"}}, 404, "not_found"},
    }));
    CAPTURE(test.name);
    fleet_view view;
    move_record move;
    move.id = "move-1";
    move.model = "m";
    move.from = "v1";
    move.to = "v2";
    move.phase = move_phase::reverted;
    move.reason = "slow";
    view.moves.push_back(move);
    service_record record;
    record.add_ended_request(view, {"a<b", "o", true});
    record.add_ended_request(view, {"a<b", "o", false});
    record.add_decision("00ff", session_event::routed, "attempt 1 at x");
    record.record_moves(view);
    record.record_moves(view);
    CHECK(record.decisions("move-1").size() == 1);
    metrics counters;
    counters.count("store_calls_total", 2.0, {{"call", "get"}, {"outcome", "ok"}});
    counters.count("store_calls_total", 1.0, {{"call", "get"}, {"outcome", "store_unavailable"}});

    report_sources sources;
    sources.node = "entry-1";
    sources.view = [&view] { return std::make_shared<const fleet_view>(view); };
    sources.record = &record;
    sources.counters = &counters;
    sources.drain = [](const std::string& target) {
        return target == "engine-1" ? std::optional<node_id>("agent-1") : std::nullopt;
    };
    http_request request;
    request.query = test.query;
    bool found = false;
    for (const auto& route : report_routes(sources)) {
        if (route.method == test.method && route.path == test.path) {
            found = true;
            const auto response = route.handler(request);
            CHECK(response.status == test.status);
            CAPTURE(response.body);
            CHECK(response.body.find(test.part) != std::string::npos);
        }
    }
    CHECK(found);
}

} // namespace

} // namespace lovage
