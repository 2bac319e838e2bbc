#pragma once

#include "lovage/core/attempt_plan.h"
#include "lovage/core/prompt_part.h"
#include "lovage/core/silence_plan.h"
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

/// A header field that is forwarded as it is.
using header_field = std::pair<std::string, std::string>;

/// A caller's request as it is forwarded, without the fields that concern only one connection or that
/// lovagefront sets itself.
struct forwarded_request {
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    std::vector<header_field> fields;
    std::string body;
    /// The caller's id of this request; answers carry it.
    std::string id;
};

/// Where a generation's memory is kept besides its engine.
struct memory_copy {
    std::string target_id;
    /// "ip:port" of the target that holds the copy.
    std::string address;
    /// The engine that made the copy and the copy's name there; empty for the copy that follows a run from
    /// its start.
    std::string source_address;
    std::string name;
};

/// What is set for one attempt.
struct attempt_order {
    std::string target_id;
    std::string address;
    /// Name of the caller's organisation; empty for none.
    std::string organisation;
    /// Time that the target may use.
    milliseconds time_left{0};
    /// Last event that the caller has; the target goes on after it.
    std::string last_event_id;
    /// Where the engine sends a copy of the generation's memory; empty address for none.
    memory_copy copy_to;
    /// The target goes on from the copy that it holds; a named copy is named with its source.
    bool from_copy = false;
    memory_copy copy_from;
    /// Rank of the request among those that wait for an engine, 0 first; nothing if it has no prompt.
    std::optional<std::int64_t> rank;
    /// Whether a connection that has been idle may be used; its loss leaves open whether the request ran.
    bool may_reuse_connection = true;
};

/// The load that a target tells with an answer.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// The first part of a target's answer.
struct answer_head {
    int status = 0;
    std::string reason;
    /// Fields for the caller, without those that concern only the connection to the target.
    std::vector<header_field> fields;
    /// Whether the answer names this request.
    bool is_own = false;
    /// Whether it carries the mark by which callers know an answer of a target.
    bool is_marked = false;
    /// Whether the target says that it did not run the request.
    bool is_not_run = false;
    /// Whether another target has the address; it did not run the request.
    bool is_other_target = false;
    std::optional<reported_load> load;
};

/// What happens to an attempt, called on the traffic thread. After `on_end` or `on_failure` nothing follows.
struct attempt_events {
    std::function<void(const answer_head&)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The answer is complete.
    std::function<void()> on_end;
    /// `end` is `unreachable` (nothing was sent) or `broken`.
    std::function<void(attempt_end end, const std::string& detail)> on_failure;
};

/// An attempt in progress.
struct attempt_handle {
    /// Ends the attempt by closing its connection; no event follows.
    std::function<void()> cancel;
    /// Stops and continues reading, so that a slow caller does not fill the memory.
    std::function<void(bool paused)> pause;
};

/// Calls that concern an engine itself, and the meaning of their answers.
struct engine_dialect {
    using request_ptr = std::shared_ptr<const forwarded_request>;
    /// What the engine does for a request.
    request_ptr status_request;
    std::function<run_status(const std::string& body, const std::string& request_id)> decode_status;
    /// A copy of a running request's memory at another engine.
    std::function<request_ptr(const std::string& request_id, const std::string& holder_address)>
        make_copy_request;
    /// The name of the copy; nothing if the answer has none.
    std::function<std::optional<std::string>(const std::string& body)> decode_copy;
    std::function<request_ptr(const std::string& name)> make_free_request;
    /// Which parts of prompts the engine keeps in memory.
    request_ptr kept_request;
    std::function<std::vector<prompt_part>(const std::string& body)> decode_kept;
};

/// The way to targets. Called on the traffic thread; does not block.
struct target_port {
    std::function<attempt_handle(std::shared_ptr<const forwarded_request>, attempt_order, attempt_events)>
        open;
    /// Closes idle connections to an address that is no longer used.
    std::function<void(const std::string& address)> forget;
};

} // namespace lovage
