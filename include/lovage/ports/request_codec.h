#pragma once

#include "lovage/core/result.h"
#include "lovage/ports/caller_port.h"
#include "lovage/ports/target_port.h"
#include "lovage/traffic/proxied_request.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovage {

/// A request as it was read, without the fields that concern only the connection.
struct received_request {
    std::string method;
    std::string target;
    std::vector<header_field> fields;
    std::string body;
};

/// Status, reason and fields of an answer of lovagefront's own.
struct encoded_answer {
    int status = 500;
    std::string reason;
    std::vector<header_field> fields;
    std::string body;
};

/// The names that callers and targets use in requests and answers. The functions keep no state and may be
/// called from any thread.
struct request_codec {
    std::function<caller_request(received_request)> decode_request;
    /// All fields for a target, except those that frame the body.
    std::function<std::vector<header_field>(const forwarded_request&, const attempt_order&)> encode_attempt;
    std::function<answer_head(int status, std::string reason, std::vector<header_field> fields,
                              const forwarded_request& request)>
        decode_answer;
    std::function<encoded_answer(const own_answer&)> encode_answer;
    engine_dialect engine;
};

} // namespace lovage
