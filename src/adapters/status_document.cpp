#include "lovage/adapters/status_document.h"

#include <nlohmann/json.hpp>

namespace lovage {

namespace {

using nlohmann::json;

std::string text_of(const json& item, const char* name) {
    return item.is_object() && item.contains(name) && item[name].is_string() ? item[name].get<std::string>()
                                                                             : std::string();
}

} // namespace

result<status_document> decode_status(const std::string& encoded) {
    const json body = json::parse(encoded, nullptr, false);
    if (!body.is_object() || !body.contains("config_revision") ||
        !body["config_revision"].is_number_unsigned()) {
        return fail(error_kind::protocol_error, "the status has no config_revision");
    }
    status_document status;
    status.revision = body["config_revision"].get<config_revision>();
    if (!body.contains("members")) {
        return status;
    }
    if (!body["members"].is_array()) {
        return fail(error_kind::protocol_error, "members: expected a list");
    }
    for (const auto& item : body["members"]) {
        status_member member{text_of(item, "node"), text_of(item, "http_address"), text_of(item, "state")};
        if (member.node.empty()) {
            return fail(error_kind::protocol_error,
                        "members: expected objects with node, http_address, state");
        }
        status.members.push_back(std::move(member));
    }
    return status;
}

} // namespace lovage
