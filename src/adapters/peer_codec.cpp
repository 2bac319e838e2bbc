#include "lovage/adapters/peer_codec.h"

#include "peer_message_fields.h"

#include "lovage/adapters/cbor_structure.h"

#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace lovage {

namespace {

using json = nlohmann::json;

// Names of the enums that messages carry.
constexpr const auto& names_for(error_kind /*unused*/) {
    return k_error_kind_names;
}
constexpr const auto& names_for(node_role /*unused*/) {
    return k_node_role_names;
}
constexpr const auto& names_for(priority /*unused*/) {
    return k_priority_names;
}
constexpr const auto& names_for(finish_reason /*unused*/) {
    return k_finish_reason_names;
}
constexpr const auto& names_for(order_kind /*unused*/) {
    return k_order_kind_names;
}

json encode(const wall_time& value) {
    return value.time_since_epoch().count();
}

json encode_bytes(const std::string& value) {
    return json::binary(json::binary_t::container_type(value.begin(), value.end()));
}

template <class T>
json encode(const T& value);

template <class T>
json encode(const std::vector<T>& values) {
    json list = json::array();
    for (const auto& value : values) {
        list.push_back(encode(value));
    }
    return list;
}

template <class T>
json encode(const T& value) {
    if constexpr (std::is_enum_v<T>) {
        return name_of(names_for(T{}), value);
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        return value;
    } else {
        json fields = json::object();
        visit_fields(value, [&fields](const auto& field, const auto& member) {
            if constexpr (std::decay_t<decltype(field)>::form == field_form::bytes) {
                fields[field.name] = encode_bytes(member);
            } else {
                fields[field.name] = encode(member);
            }
        });
        return fields;
    }
}

// Reports a message that does not have the expected form; caught in `decode_peer_message`.
class malformed_message : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Each of the following reads one value and returns whether it has the expected type and range.

bool decode(json& field, bool& value) {
    value = field.is_boolean() && field.get<bool>();
    return field.is_boolean();
}

bool decode(json& field, double& value) {
    value = field.is_number() ? field.get<double>() : 0.0;
    return field.is_number() && std::isfinite(value);
}

bool decode(json& field, std::string& value) {
    if (!field.is_string()) {
        return false;
    }
    value = std::move(field.get_ref<std::string&>());
    return true;
}

bool decode(json& field, wall_time& value) {
    // The bound keeps differences of two such times representable.
    constexpr std::uint64_t latest_ms = std::uint64_t{1} << 53U;
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > latest_ms) {
        return false;
    }
    value = wall_time(milliseconds(field.get<std::int64_t>()));
    return true;
}

bool decode_bytes(json& field, std::string& value) {
    if (!field.is_binary()) {
        return false;
    }
    const auto& bytes = field.get_binary();
    value.assign(bytes.begin(), bytes.end());
    return true;
}

template <class T>
bool decode(json& field, T& value);

template <class T>
bool decode(json& field, std::vector<T>& values) {
    if (!field.is_array()) {
        return false;
    }
    values.reserve(field.size());
    for (auto& element : field) {
        if (!decode(element, values.emplace_back())) {
            return false;
        }
    }
    return true;
}

// Reads the fields of a message, or of a type within one. Fields that the table does not have are skipped.
template <class T>
void decode_fields(json& fields, T& target) {
    visit_fields(target, [&fields](const auto& field, auto& member) {
        const auto found = fields.find(field.name);
        if (found == fields.end()) {
            throw malformed_message(std::string("no field ") + field.name);
        }
        bool is_valid = false;
        if constexpr (std::decay_t<decltype(field)>::form == field_form::bytes) {
            is_valid = decode_bytes(*found, member);
        } else {
            is_valid = decode(*found, member);
        }
        if (!is_valid) {
            throw malformed_message(std::string("wrong value of field ") + field.name);
        }
    });
}

template <class T>
bool decode(json& field, T& value) {
    if constexpr (std::is_enum_v<T>) {
        const auto known = field.is_string()
                               ? value_of<T>(names_for(T{}), field.get_ref<const std::string&>())
                               : std::nullopt;
        value = known.value_or(T{});
        return known.has_value();
    } else if constexpr (std::is_unsigned_v<T>) {
        if (!field.is_number_unsigned() || field.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
            return false;
        }
        value = field.get<T>();
        return true;
    } else {
        if (!field.is_object()) {
            return false;
        }
        decode_fields(field, value);
        return true;
    }
}

// Returns an empty message of the alternative `index`.
template <std::size_t Index = 0>
peer_message make_alternative(std::size_t index) {
    if constexpr (Index + 1 < k_peer_message_count) {
        if (index != Index) {
            return make_alternative<Index + 1>(index);
        }
    }
    return peer_message(std::in_place_index<Index>);
}

peer_message read_message(json& document) {
    if (!document.is_array() || document.size() != 2 || !document[0].is_string() ||
        !document[1].is_object()) {
        throw malformed_message("not a list of name and fields");
    }
    const auto& name = document[0].get_ref<const std::string&>();
    const auto index = value_of<std::size_t>(k_peer_message_names, name);
    if (!index) {
        throw malformed_message("unknown message");
    }
    peer_message message = make_alternative(*index);
    std::visit([&document](auto& alternative) { decode_fields(document[1], alternative); }, message);
    return message;
}

} // namespace

result<std::string> encode_peer_message(const peer_message& message, const peer_codec_limits& limits) {
    json document = json::array();
    document.push_back(k_peer_message_names.at(message.index()));
    document.push_back(std::visit([](const auto& alternative) { return encode(alternative); }, message));
    std::string bytes;
    json::to_cbor(document, bytes);
    if (bytes.size() > limits.max_bytes) {
        return fail(error_kind::request_too_large, "a message of " + std::to_string(bytes.size()) +
                                                       " bytes is above the limit of peer connections");
    }
    return bytes;
}

result<peer_message> decode_peer_message(std::string_view bytes, const peer_codec_limits& limits) {
    if (bytes.size() > limits.max_bytes) {
        return fail(error_kind::protocol_error, "the message is larger than the limit");
    }
    if (const char* problem = find_cbor_problem(bytes, {limits.max_items, limits.max_depth});
        problem != nullptr) {
        return fail(error_kind::protocol_error, std::string("the message is malformed: ") + problem);
    }
    try {
        json document = json::from_cbor(bytes.begin(), bytes.end());
        return read_message(document);
    } catch (const malformed_message& problem) {
        return fail(error_kind::protocol_error, problem.what());
    } catch (const json::exception& problem) {
        return fail(error_kind::protocol_error, problem.what());
    }
}

} // namespace lovage
