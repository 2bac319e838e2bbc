#include "lovage/adapters/config_document.h"

#include "lovage/core/store_revision.h"
#include "lovage/core/time_limits.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lovage {

namespace {

using nlohmann::json;

struct text_field {
    const char* name;
    std::string config_document::*member;
    std::size_t limit;
    bool may_be_empty;
};

constexpr std::array<text_field, 4> k_text_fields{{
    {"operation", &config_document::operation_id, k_max_operation_id_bytes, false},
    {"author", &config_document::author, k_max_author_bytes, false},
    {"reason", &config_document::reason, k_max_reason_bytes, false},
    {"text", &config_document::text, k_max_config_document_bytes, true},
}};

bool is_within_bounds(const text_field& field, const std::string& value) {
    return value.size() <= field.limit && (field.may_be_empty || !value.empty());
}

std::string bounds_text(const text_field& field) {
    return std::string(field.name) + ": expected " + (field.may_be_empty ? "at most " : "1 to ") +
           std::to_string(field.limit) + " bytes";
}

// Reads an optional number. Returns 0 if it is absent, and nullopt if it is not an unsigned integer.
std::optional<std::uint64_t> read_number(const json& body, const char* name) {
    if (!body.contains(name)) {
        return 0;
    }
    return body[name].is_number_unsigned() ? std::optional(body[name].get<std::uint64_t>()) : std::nullopt;
}

} // namespace

result<std::string> encode_config_document(const config_document& document) {
    json body;
    for (const auto& field : k_text_fields) {
        const std::string& value = document.*field.member;
        if (!is_within_bounds(field, value)) {
            return fail(error_kind::invalid_request, bounds_text(field));
        }
        body[field.name] = value;
    }
    body["previous"] = document.previous;
    body["era"] = document.era;
    body["applied_ms"] = document.applied.time_since_epoch().count();
    std::string encoded;
    try {
        encoded = body.dump();
    } catch (const json::type_error& /*failure*/) {
        return fail(error_kind::invalid_request, "the text, author or reason is not UTF-8");
    }
    if (encoded.size() > k_max_config_document_bytes) {
        return fail(error_kind::request_too_large, "the configuration document is longer than " +
                                                       std::to_string(k_max_config_document_bytes) +
                                                       " bytes");
    }
    return encoded;
}

result<config_document> decode_config_document(const std::string& encoded) {
    if (encoded.size() > k_max_config_document_bytes) {
        return fail(error_kind::protocol_error, "the configuration document is too long");
    }
    const json body = json::parse(encoded, nullptr, false);
    if (!body.is_object()) {
        return fail(error_kind::protocol_error, "the configuration document is not a JSON object");
    }
    config_document document;
    for (const auto& field : k_text_fields) {
        if (!body.contains(field.name) || !body[field.name].is_string()) {
            return fail(error_kind::protocol_error, std::string(field.name) + ": expected a text");
        }
        std::string value = body[field.name].get<std::string>();
        if (!is_within_bounds(field, value)) {
            return fail(error_kind::protocol_error, bounds_text(field));
        }
        document.*field.member = std::move(value);
    }
    const auto previous = read_number(body, "previous");
    const auto applied = read_number(body, "applied_ms");
    const auto era = read_number(body, "era");
    constexpr auto k_latest_ms = static_cast<std::uint64_t>(k_latest_wall_time.time_since_epoch().count());
    if (!previous || !applied || !era || *applied > k_latest_ms) {
        return fail(error_kind::protocol_error,
                    "previous, applied_ms, era: expected unsigned integers and a time before the year 10000");
    }
    document.era = std::max(*era, era_of(*previous));
    document.previous = *previous;
    document.applied = wall_time(milliseconds(*applied));
    return document;
}

} // namespace lovage
