#pragma once

#include "lovage/core/error_kind.h"
#include "lovage/core/generation.h"
#include "lovage/core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

/// `entry` processes (front ends) take requests from callers; `agent` processes run next to a target.
enum class node_role : std::uint8_t { entry, agent };
inline constexpr std::size_t k_node_role_count = 2;
inline constexpr enum_names<k_node_role_count> k_node_role_names{"entry", "agent"};

/// First message on a connection, in both directions.
struct hello_message {
    std::uint32_t protocol = 1;
    node_id node;
    lovage::incarnation incarnation = 0;
    node_role role = node_role::entry;
    std::string zone;
    std::string region;
};

/// Home entry (the entry that owns a request) -> agent: run an attempt. `accepted` holds the tokens of the
/// answer so far, from which the target resumes.
struct generate_message {
    attempt_ref ref;
    generation_spec spec;
    std::vector<token> accepted;
};

/// Agent -> home entry, and home entry -> relaying entry: tokens from `first` on.
struct tokens_message {
    attempt_ref ref;
    token_index first = 0;
    std::vector<token> tokens;
};

/// Agent -> home entry, and home entry -> relaying entry: end of the stream; the answer has `total` tokens.
struct finished_message {
    attempt_ref ref;
    token_index total = 0;
    finish_reason reason = finish_reason::stop;
};

/// Agent -> home entry, and home entry -> relaying entry: the attempt ended without a `finished_message`.
struct failed_message {
    attempt_ref ref;
    error_kind kind = error_kind::target_failed;
    std::string detail;
    /// The attempt certainly did not run, so a retry cannot run the request twice.
    bool not_run = false;
    std::uint32_t retry_after_ms = 0;
};

/// Home entry -> agent: cancel the attempt and all earlier ones of the same answer.
struct cancel_message {
    attempt_ref ref;
};

/// Agent -> home entry, every 200 ms: the attempts it runs for this entry and their next token index.
struct progress_message {
    struct item {
        attempt_ref ref;
        token_index next = 0;
    };
    std::vector<item> items;
};

/// Agent -> new home entry: a generation that is running or has ended after its home entry failed.
struct adopt_message {
    attempt_ref ref;
    generation_spec spec;
    std::vector<token> tokens;
    bool finished = false;
    finish_reason reason = finish_reason::stop;
};

/// New home entry -> agent: whether it takes over the generation; otherwise the agent cancels it.
struct adopt_reply_message {
    attempt_ref ref;
    bool accepted = false;
};

/// Relaying entry -> home entry: subscribe to a request's answer from token `next`. If the relay has already
/// forwarded tokens to the caller, `answer` is their answer id and `known` holds them, so that a new home
/// entry can resume the same text.
struct attach_message {
    request_id request;
    generation_spec spec;
    /// Hash of the request's content, by which a reused idempotency key is recognised.
    std::uint64_t digest = 0;
    answer_id answer;
    /// The highest attempt of `answer` that the relay has seen; 0 if unknown.
    attempt_number attempt = 0;
    token_index next = 0;
    std::vector<token> known;
};

/// Home entry -> relaying entry: identifies the answer whose tokens follow. A change of `ref.answer` starts a
/// new text.
struct attach_reply_message {
    attempt_ref ref;
    std::string model_version;
    token_index next = 0;
};

/// Relaying entry -> home entry: the caller has disconnected.
struct detach_message {
    request_id request;
};

/// Home entry -> agent, and relaying entry -> home entry: a call of a plain service.
struct call_message {
    request_id request;
    std::string organisation;
    std::string service;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    bool repeatable = true;
    /// The agent incarnation that the call's claim in the store refers to; 0 for repeatable calls.
    lovage::incarnation bound_incarnation = 0;
    wall_time deadline{};
};

/// The response to a call_message, in the opposite direction.
struct call_result_message {
    request_id request;
    bool ok = false;
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    error_kind kind = error_kind::internal;
    std::string detail;
    /// The call certainly did not run, so a retry cannot run it twice.
    bool not_run = false;
};

/// A model version that a target has loaded.
struct loaded_version {
    std::string model;
    std::string version;
    std::string adapter;
};

/// Agent -> connected entries, every 250 ms and on change: load and health of the target.
struct load_report_message {
    std::string target;
    std::vector<std::string> services;
    std::vector<loaded_version> loaded;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Age of the engine's own load report when the agent sent this message.
    std::uint32_t age_ms = 0;
    bool engine_up = false;
    bool draining = false;
    fencing_number highest_fencing = 0;
    std::uint64_t tokens_total = 0;
};

enum class order_kind : std::uint8_t { load_version, unload_version, set_role };
inline constexpr std::size_t k_order_kind_count = 3;
inline constexpr enum_names<k_order_kind_count> k_order_kind_names{"load_version", "unload_version",
                                                                   "set_role"};

/// Leader -> agent: a command for the agent's target.
struct order_message {
    std::string order_id;
    fencing_number fencing = 0;
    order_kind kind = order_kind::load_version;
    loaded_version version;
    std::string role;
};

/// Agent -> leader: the result of an order.
struct order_result_message {
    std::string order_id;
    bool ok = false;
    error_kind kind = error_kind::internal;
    std::string detail;
};

/// The sender is draining and takes no new work.
struct goodbye_message {
    node_id node;
};

/// Cumulative counts of one model version on one route, as seen by one entry since its start; evidence by
/// which moves are evaluated.
struct route_evidence {
    std::string model;
    std::string version;
    std::string route;
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow_first_tokens = 0;
    std::uint64_t slow_gaps = 0;
};

/// Entry -> leader, every second while a move is in progress.
struct evidence_message {
    std::vector<route_evidence> items;
};

using peer_message =
    std::variant<hello_message, generate_message, tokens_message, finished_message, failed_message,
                 cancel_message, progress_message, adopt_message, adopt_reply_message, attach_message,
                 attach_reply_message, detach_message, call_message, call_result_message, load_report_message,
                 order_message, order_result_message, goodbye_message, evidence_message>;

/// Names of the alternatives of `peer_message`, in its order.
inline constexpr std::size_t k_peer_message_count = 19;
inline constexpr enum_names<k_peer_message_count> k_peer_message_names{
    "hello",       "generate",    "tokens",       "finished",     "failed",   "cancel", "progress",
    "adopt",       "adopt_reply", "attach",       "attach_reply", "detach",   "call",   "call_result",
    "load_report", "order",       "order_result", "goodbye",      "evidence",
};
static_assert(std::variant_size_v<peer_message> == k_peer_message_count);

} // namespace lovage
