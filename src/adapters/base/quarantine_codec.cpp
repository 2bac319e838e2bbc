#include "lovage/adapters/quarantine_codec.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace lovage {

using nlohmann::json;

std::string encode_quarantine_record(const quarantine_record& record) {
    json value = {{"service", record.service}, {"parts", record.parts}};
    if (record.request != 0) {
        value["request"] = record.request;
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<quarantine_record> decode_quarantine_record(const std::string& value) {
    try {
        const json source = json::parse(value);
        // Processes of earlier versions write no request.
        quarantine_record record{source.at("service").get<std::string>(),
                                 source.at("parts").get<std::vector<std::string>>(),
                                 source.value("request", std::uint64_t{0})};
        if (record.parts.empty() == (record.request == 0)) {
            return fail(error_kind::protocol_error,
                        "a quarantine record names neither or both of prompt parts and a request");
        }
        return record;
    } catch (const json::exception& failure) {
        return fail(error_kind::protocol_error, failure.what());
    }
}

} // namespace lovage
