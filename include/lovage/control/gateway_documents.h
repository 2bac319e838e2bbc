#pragma once

#include "lovage/core/move_record.h"
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

/// A value that concerns no gateway.
struct ignored_document {};
using operator_document = std::variant<ignored_document, route_table, rollout_order, move_record>;

/// Where the store keeps what a gateway follows, and how it is written there.
struct gateway_documents {
    /// The prefix below which all that a gateway follows lies.
    std::string prefix;
    std::function<result<operator_document>(const std::string& key, const store_value&)> decode_operator;
    /// Fails with `protocol_error` for an entry that names no target to use.
    std::function<result<target_record>(const std::string& key, const store_value&)> decode_target;
    /// The id of the target under `key`.
    std::function<std::string(const std::string& key)> target_id;
    /// The service of a rollout order under `key`; empty for other keys.
    std::function<std::string(const std::string& key)> rollout_service;
    /// The key of a service's record, and what is written with a record: itself and the operators' status.
    std::function<std::string(const std::string& service)> move_key;
    std::function<std::vector<store_put>(const move_record&)> encode_move;
};

} // namespace lovage
