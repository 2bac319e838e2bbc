#pragma once

#include "lovage/core/result.h"
#include "lovage/core/rollout_order.h"
#include "lovage/core/route_table.h"
#include "lovage/core/target_record.h"
#include "lovage/ports/store_port.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

/// A value below the operators' prefix that concerns no gateway.
struct ignored_document {};
using operator_document = std::variant<ignored_document, route_table, rollout_order>;

/// Where the store keeps what a gateway follows, and how it is written there.
struct gateway_documents {
    /// The prefixes that are read; a watch follows all of them at once.
    std::vector<std::string> prefixes;
    std::string watched_prefix;
    std::function<result<operator_document>(const std::string& key, const store_value&)> decode_operator;
    /// Fails with `protocol_error` for an entry that names no target to use.
    std::function<result<target_record>(const std::string& key, const store_value&)> decode_target;
    /// The id of the target under `key`.
    std::function<std::string(const std::string& key)> target_id;
    /// The service of a rollout order under `key`; empty for other keys.
    std::function<std::string(const std::string& key)> rollout_service;
};

} // namespace lovage
