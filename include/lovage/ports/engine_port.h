#pragma once

#include "lovage/core/generation.h"
#include "lovage/core/messages.h"
#include "lovage/core/result.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lovage {

/// The load that an engine reports; it was measured `age_ms` before the report.
struct engine_load {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t age_ms = 0;
    std::vector<loaded_version> loaded;
};

/// The end of a generation: its number of tokens and the reason.
struct engine_finish {
    token_index total = 0;
    finish_reason reason = finish_reason::stop;
};

/// Callbacks of one generation, called on the thread that runs it.
struct engine_stream {
    /// Receives one token; returning false stops the generation.
    std::function<bool(token_index index, const token& text)> on_token;
    /// Polled at least every 100 ms while no token arrives; returning true stops the generation.
    std::function<bool()> is_cancelled;
};

/// The model engine that runs next to the agent. Functions may be called from any thread.
struct engine_port {
    /// Runs a generation that continues after the tokens in `accepted`; blocks until it ends. Fails with
    /// `target_failed` if the stream ends without its done event or stalls while the engine reports its load,
    /// `target_silent` if the engine sends nothing at all until its timeout, `target_busy` if it refuses the
    /// request, and `cancelled` if a callback stopped the generation.
    std::function<result<engine_finish>(const attempt_ref&, const generation_spec&,
                                        const std::vector<token>& accepted, const engine_stream&)>
        generate;
    std::function<result<void>(const attempt_ref&)> cancel;
    /// Reads the engine's current load report.
    std::function<result<engine_load>()> load;
    /// Executes an order of the leader, such as to load a model version.
    std::function<result<void>(const order_message&)> order;
};

} // namespace lovage
