#pragma once

#include "lovage/core/move_record.h"
#include "lovage/core/prompt_quarantine.h"
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

/// A stored value that gateways do not use.
struct ignored_document {};
/// A decoded store value that gateways watch, other than target registrations: a route table, rollout order,
/// move record (the state of the rollout of another version) or quarantined prompt parts.
using watched_document =
    std::variant<ignored_document, route_table, rollout_order, move_record, quarantine_record>;

/// The keys and encodings of the store values that a gateway watches and writes. The functions are stateless
/// and may be called from any thread.
struct gateway_documents {
    /// The common prefix of all keys that a gateway watches.
    std::string prefix;
    std::function<result<watched_document>(const std::string& key, const store_value&)>
        decode_watched_document;
    /// Decodes the registration of a target. Fails with `protocol_error` if it does not describe a usable
    /// target.
    std::function<result<target_record>(const std::string& key, const store_value&)> decode_target;
    /// The id of the target that is registered under `key`; empty for other keys.
    std::function<std::string(const std::string& key)> target_id;
    /// The service whose rollout order is stored under `key`; empty for other keys.
    std::function<std::string(const std::string& key)> rollout_service;
    /// The key of the record of a service's move. Gateways key move records by service and store its name in
    /// `move_record::model`; entries (front-end processes of the fleet) key them by model.
    std::function<std::string(const std::string& service)> move_key;
    /// The writes that store a record: the record itself and the rollout status for the operators.
    std::function<std::vector<store_put>(const move_record&)> encode_move;
    /// The write that stores quarantined prompt parts; the same parts have the same key.
    std::function<store_put(const quarantine_record&)> encode_quarantine;
};

} // namespace lovage
