#include "lovage/core/answer_plan.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

struct use_case {
    delivery_phase delivered;
    bool is_stream_route;
    int status;
    answer_use use;
};

// Guards against two answers that are joined into one response.
TEST_CASE("what the caller has received decides which answer may follow") {
    const auto test = GENERATE(from_range(std::vector<use_case>{
        {delivery_phase::nothing, true, 200, answer_use::forward_events},
        {delivery_phase::nothing, true, 204, answer_use::hold},
        {delivery_phase::nothing, true, 404, answer_use::hold},
        {delivery_phase::nothing, true, 500, answer_use::hold},
        {delivery_phase::nothing, false, 200, answer_use::hold},
        {delivery_phase::nothing, false, 500, answer_use::hold},
        {delivery_phase::events, true, 200, answer_use::forward_events},
        {delivery_phase::events, true, 204, answer_use::reject},
        {delivery_phase::events, true, 302, answer_use::reject},
        {delivery_phase::events, true, 404, answer_use::reject},
        {delivery_phase::events, true, 500, answer_use::reject},
        {delivery_phase::body, true, 200, answer_use::reject},
        {delivery_phase::body, false, 200, answer_use::reject},
        {delivery_phase::body, false, 500, answer_use::reject},
    }));
    CAPTURE(name_of(k_delivery_phase_names, test.delivered), test.is_stream_route, test.status);
    CHECK(plan_answer_use(test.delivered, test.is_stream_route, test.status) == test.use);
}

} // namespace

} // namespace lovage
