#include "lovage/core/admission.h"

#include <string>

namespace lovage {

result<void> admit(const admission_state& state, const generation_spec& /*spec*/,
                   const limits_config& /*limits*/) {
    if (state.live_answers >= state.max_live_answers) {
        return fail(error_kind::overloaded,
                    "this entry has " + std::to_string(state.live_answers) + " answers in progress");
    }
    return {};
}

} // namespace lovage
