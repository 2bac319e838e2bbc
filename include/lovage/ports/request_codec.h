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

/// A caller's request as received, without hop-by-hop header fields.
struct received_request {
    std::string method;
    std::string target;
    std::vector<header_field> fields;
    std::string body;
};

/// An error answer of the gateway as HTTP status, reason phrase, header fields and body.
struct encoded_answer {
    int status = 500;
    std::string reason;
    std::vector<header_field> fields;
    std::string body;
};

/// Converts requests and answers between their HTTP form and the structs of the traffic code. The functions
/// are stateless and may be called from any thread.
struct request_codec {
    std::function<caller_request(received_request)> decode_request;
    /// All header fields to send to a target, except those that frame the body.
    std::function<std::vector<header_field>(const forwarded_request&, const attempt_parameters&)>
        encode_attempt;
    std::function<answer_head(int status, std::string reason, std::vector<header_field> fields,
                              const forwarded_request& request)>
        decode_answer;
    std::function<encoded_answer(const error_reply&)> encode_answer;
    engine_codec engine;
};

} // namespace lovage
