#pragma once

#include "lovage/core/engine_stall.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/engine_port.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lovage {

class metrics;

struct engine_http_options {
    /// "ip:port" of the engine.
    std::string address;
    engine_stall_timeouts silence;
    milliseconds load_interval{200};
    /// Maximum number of abandoned streams whose connection is still open. At this number, new generations
    /// are refused with `target_busy`.
    std::uint32_t max_abandoned = 64;
};

/// Implements `engine_port` over the engine's HTTP interface (docs/design.md, 10.1). A thread polls the load
/// endpoint; `load` returns the last report and fails with `target_failed` if that is too old. The
/// HTTP client cannot abort a stalled transfer, so a stalled stream is abandoned: the thread that reads it
/// ends when the connection does.
///
/// Metrics: engine_abandoned_streams, engine_abandoned_total, engine_load_failures_total.
class engine_http {
public:
    /// `counters` must outlive the engine.
    static result<std::unique_ptr<engine_http>> create(const engine_http_options& options, metrics& counters);
    /// Waits until no stream is open, for at most 2 s.
    ~engine_http();
    engine_http(const engine_http&) = delete;
    engine_http& operator=(const engine_http&) = delete;

    engine_port port() const;
    /// Number of abandoned streams that are still open.
    std::uint32_t abandoned() const;

private:
    engine_http();
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
