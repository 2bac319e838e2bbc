#pragma once

#include "options.h"
#include "workload.h"

#include <string>

namespace lovage::load {

/// Method, path and JSON body of a request.
struct request_target {
    std::string method;
    std::string path;
    std::string body;
};

/// How requests of a mode are built and their responses read.
struct mode_traits {
    request_target (*target)(const load_options&, const request_plan&);
    bool is_event_stream;
    /// Whether the idempotency key is the request id, as in requests that an agent sends to an engine or a
    /// service.
    bool is_direct;
};

const mode_traits& mode_traits_of(const load_options& options);

/// The lookup and the post as they are sent to a service itself; the expected answers depend on them.
request_target direct_lookup_target(const load_options& options, const request_plan& plan);
request_target direct_post_target(const load_options& options, const request_plan& plan);

/// The id that the entry derives from the organisation and the idempotency key.
std::string request_id_of(const request_plan& plan);

} // namespace lovage::load
