#pragma once

#include "lovage/adapters/http_server.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace lovage::standins {

/// Returns a response with `body` as JSON.
inline http_response json_response(const nlohmann::json& body, int status = 200) {
    http_response response;
    response.status = status;
    response.body = body.dump() + "\n";
    return response;
}

/// Returns the error response for an invalid request.
inline http_response invalid_response(const std::string& detail) {
    return error_response({error_kind::invalid_request, detail}, true);
}

/// Setters of the fields of `Target`, keyed by the names of the fields in JSON.
template <class Target>
using field_setters = std::map<std::string, std::function<void(Target&, const nlohmann::json&)>>;

/// Sets the fields of `target` that the JSON object `change` contains; the others keep their values. Throws
/// std::exception for unknown names and wrong types; fields set before the exception stay set.
template <class Target>
void set_fields(Target& target, const nlohmann::json& change, const field_setters<Target>& setters) {
    for (const auto& [name, value] : change.get<std::map<std::string, nlohmann::json>>()) {
        const auto setter = setters.find(name);
        if (setter == setters.end()) {
            throw std::invalid_argument("unknown field: " + name);
        }
        setter->second(target, value);
    }
}

/// Returns the enumerator whose name is the string `value`. Throws std::exception if there is none.
template <class Enum, std::size_t Count>
Enum parse_enum(const enum_names<Count>& names, const nlohmann::json& value) {
    const auto found = value_of<Enum>(names, value.get<std::string>());
    if (!found) {
        throw std::invalid_argument("unknown name: " + value.dump());
    }
    return *found;
}

/// Wraps `handler` so that an exception from it becomes a response with status 400.
inline http_handler with_error_response(http_handler handler) {
    return [handler = std::move(handler)](const http_request& incoming) {
        try {
            return handler(incoming);
        } catch (const std::exception& failure) {
            return invalid_response(failure.what());
        }
    };
}

} // namespace lovage::standins
