#pragma once

#include "lovage/core/generation.h"
#include "lovage/core/ids.h"
#include "lovage/core/prompt_quarantine.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <mutex>

namespace lovage {

/// The quarantine of prompts that engines fail on, for the generations of one entry. The prompts here have no
/// parts, so only requests with the same prompt share a quarantine; it holds for one version of the model.
/// Thread-safe.
class generation_quarantine {
public:
    /// Records that the engine of `target` failed before it had generated more than the first tokens.
    void record_crash(const generation_spec& spec, const node_id& target, time_point now);
    /// Records that an engine has generated more than the first tokens.
    void record_success(const generation_spec& spec, time_point now);
    bool is_quarantined(const generation_spec& spec) const;

private:
    mutable std::mutex m_mutex;
    prompt_quarantine m_quarantine;
    std::uint64_t m_last_id = 0;
};

} // namespace lovage
