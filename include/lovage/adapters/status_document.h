#pragma once

#include "lovage/core/ids.h"
#include "lovage/core/result.h"

#include <string>
#include <vector>

namespace lovage {

/// A member as listed in `/admin/status`.
struct status_member {
    node_id node;
    std::string http_address;
    std::string state;
};

/// The fields of `/admin/status` that lovagectl needs.
struct status_document {
    config_revision revision = 0;
    std::vector<status_member> members;
};

/// Reads the JSON of `/admin/status`; other fields are ignored. Fails with `protocol_error`.
result<status_document> decode_status(const std::string& json);

} // namespace lovage
