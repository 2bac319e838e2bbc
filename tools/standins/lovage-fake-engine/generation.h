#pragma once

#include "engine.h"

#include "standins/fake_text.h"

#include <memory>

namespace lovage::standins {

/// A queued or running generation. Internal to the engine.
struct fake_engine::generation {
    engine_request request;
    std::shared_ptr<token_stream> output;
    fake_completion end;
    token_index next = 0;
    /// Prompt tokens that have not been prefilled.
    double prefill_remaining = 0.0;
    /// Prompt tokens that the current step prefills.
    double prefill_in_step = 0.0;
    stream_fault fault;
    /// Whether the random choice by `bad_version::share` selected this generation for the fault of its
    /// version.
    bool is_fault_selected = false;
    /// Fraction of the next token that a sequence slowed by `version_fault::slow` has generated.
    double token_progress = 0.0;
    bool stalled = false;
    bool ended = false;
};

} // namespace lovage::standins
