#include "lovage/core/answer_plan.h"

namespace lovage {

namespace {

// The only status of an answer that is a stream of events.
constexpr int k_stream_status = 200;

} // namespace

answer_use plan_answer_use(delivery_phase delivered, bool is_stream_route, int status) {
    const bool is_stream = is_stream_route && status == k_stream_status;
    switch (delivered) {
    case delivery_phase::nothing:
        return is_stream ? answer_use::forward_events : answer_use::hold;
    case delivery_phase::events:
        return is_stream ? answer_use::forward_events : answer_use::reject;
    case delivery_phase::body:
        break;
    }
    return answer_use::reject;
}

} // namespace lovage
