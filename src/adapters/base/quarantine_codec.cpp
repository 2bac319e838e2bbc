#include "lovage/adapters/quarantine_codec.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace lovage {

using nlohmann::json;

std::string encode_quarantine_record(const quarantine_record& record) {
    const json value = {{"service", record.service}, {"parts", record.parts}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<quarantine_record> decode_quarantine_record(const std::string& value) {
    try {
        const json source = json::parse(value);
        quarantine_record record{source.at("service").get<std::string>(),
                                 source.at("parts").get<std::vector<std::string>>()};
        if (record.parts.empty()) {
            return fail(error_kind::protocol_error, "a record of quarantined prompt parts names none");
        }
        return record;
    } catch (const json::exception& failure) {
        return fail(error_kind::protocol_error, failure.what());
    }
}

} // namespace lovage
