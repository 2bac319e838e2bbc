#pragma once

#include "lovage/core/attempt_plan.h"
#include "lovage/core/prompt_part.h"
#include "lovage/core/stall_plan.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovage {

/// Name and value of a header field that is forwarded unchanged.
using header_field = std::pair<std::string, std::string>;

/// A caller's request as forwarded to targets, without hop-by-hop header fields and those that the gateway
/// sets itself.
struct forwarded_request {
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    std::vector<header_field> fields;
    std::string body;
    /// The caller's id of this request; a target's answer repeats it.
    std::string id;
};

/// A copy of a running generation's KV cache at another engine, from which the generation can resume.
struct standby_copy {
    std::string target_id;
    /// Address ("ip:port") of the target that holds the copy.
    std::string address;
    /// Address of the engine that made the copy, and the copy's name there. Both are empty for a standby copy
    /// that the engine has updated continuously since the start of the generation.
    std::string source_address;
    std::string name;
};

/// The parameters of one attempt to run a request at a target.
struct attempt_parameters {
    std::string target_id;
    std::string address;
    /// Name of the caller's organisation; empty for none.
    std::string organisation;
    /// Time until the deadline of the attempt, which the target is told.
    milliseconds time_left{0};
    /// Id of the last event that the caller has received; the target resumes after it. Empty for none.
    std::string last_event_id;
    /// Where the engine sends a standby copy of the generation's KV cache; the address is empty for none.
    standby_copy copy_to;
    /// Whether the target resumes from the copy that it holds, which is described by `copy_from`.
    bool from_copy = false;
    standby_copy copy_from;
    /// Priority of the request in the engine's queue, 0 is the highest; nothing if the request has no prompt.
    std::optional<std::int64_t> rank;
    /// Whether an idle connection may be reused. If a reused connection is lost, it is unknown whether the
    /// request ran.
    bool may_reuse_connection = true;
    /// Whether the request was sent to this target before. The target's answer to the earlier attempt has the
    /// same id, so a reused connection could deliver it once more.
    bool was_sent_before = false;
};

/// The load that a target reports with an answer.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes at the target now, in per cent of the usual time, if it states it.
    std::optional<double> time_percent{};
};

/// Status and header fields of a target's answer.
struct answer_head {
    int status = 0;
    /// Whether the status is not one of HTTP. The answer is then passed on no further: all other members have
    /// their defaults, and `on_failure` follows.
    bool has_invalid_status = false;
    std::string reason;
    /// Header fields for the caller, without hop-by-hop fields.
    std::vector<header_field> fields;
    /// Whether the answer carries the id of this request.
    bool has_matching_request_id = false;
    /// Whether the answer carries the header field that proves to callers that a target made it.
    bool has_target_marker = false;
    /// Whether the target states that it did not run the request.
    bool is_not_run = false;
    /// Whether another target now uses the address, which did not run the request.
    bool is_other_target = false;
    /// Whether the target states that it is about to leave.
    bool is_leaving = false;
    /// How long the target wants no further requests from this process, if it states so in a refusal.
    std::optional<milliseconds> pause;
    /// Whether the header field that states one of them has a value that could not be read.
    bool has_invalid_leaving = false;
    bool has_invalid_pause = false;
    /// Whether the answer has neither a length nor chunks, so that the end of its connection is its end.
    bool ends_with_connection = false;
    std::optional<reported_load> load;
    /// Whether the header field that states the load, or its time factor, could not be read.
    bool has_invalid_load = false;
};

/// Callbacks of an attempt, called on the traffic thread. `on_end` or `on_failure` is the last one.
struct attempt_events {
    std::function<void(const answer_head&)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The answer is complete.
    std::function<void()> on_end;
    /// `end` is `unreachable` (nothing was sent) or `broken` (the connection was lost).
    std::function<void(attempt_end end, const std::string& detail)> on_failure;
};

/// Controls an attempt in progress. Called on the traffic thread.
struct attempt_handle {
    /// Aborts the attempt by closing its connection; no callback follows.
    std::function<void()> cancel;
    /// Stops (true) or continues (false) reading the answer: backpressure that keeps a slow caller from
    /// filling the memory.
    std::function<void(bool paused)> pause;
};

/// Builds requests to an engine's own endpoints, which are not callers' requests, and decodes the answers.
/// Requests are null if the engines do not support them.
struct engine_codec {
    using request_ptr = std::shared_ptr<const forwarded_request>;
    /// Asks for the state of the requests that the engine runs.
    request_ptr status_request;
    std::function<run_status(const std::string& body, const std::string& request_id)> decode_status;
    /// Asks the engine to copy the KV cache of a running request to the engine at `holder_address`.
    std::function<request_ptr(const std::string& request_id, const std::string& holder_address)>
        make_standby_copy_request;
    /// The name of the new copy; nothing if the answer has none.
    std::function<std::optional<std::string>(const std::string& body)> decode_standby_copy;
    /// Asks the engine to release the copy `name`.
    std::function<request_ptr(const std::string& name)> make_release_request;
    /// Asks which parts of prompts the engine has in its prefix cache.
    request_ptr prefix_cache_request;
    std::function<std::vector<prompt_part>(const std::string& body)> decode_prefix_cache;
};

/// Sends requests to targets. Called on the traffic thread; does not block.
struct target_port {
    /// Starts an attempt and reports its progress through the callbacks.
    std::function<attempt_handle(std::shared_ptr<const forwarded_request>, attempt_parameters,
                                 attempt_events)>
        open;
    /// Closes idle connections to a target's address that is no longer in use.
    std::function<void(const std::string& address)> close_idle_connections;
};

} // namespace lovage
