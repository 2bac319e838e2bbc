#pragma once

#include "lovage/core/fleet_config.h"
#include "lovage/core/generation.h"
#include "lovage/core/result.h"

#include <cstddef>

namespace lovage {

/// The load of an entry (front-end process) that the admission decision depends on.
struct admission_state {
    /// Answers in progress that this entry owns or relays for another entry.
    std::size_t live_answers = 0;
    std::size_t max_live_answers = 0;
};

/// Decides whether a new answer may start. Fails with `overloaded` at the limit of live answers. Resumes of
/// answers in progress are not subject to admission.
result<void> admit(const admission_state& state, const generation_spec& spec, const limits_config& limits);

} // namespace lovage
