#include "lovage/adapters/move_codec.h"

#include <nlohmann/json.hpp>

namespace lovage {

using nlohmann::json;

std::string encode_move_record(const move_record& record) {
    const json value = {{"id", record.id},
                        {"model", record.model},
                        {"from", record.from},
                        {"to", record.to},
                        {"phase", name_of(k_move_phase_names, record.phase)},
                        {"share", record.share},
                        {"fencing", record.fencing},
                        {"sequence", record.sequence},
                        {"deadline_ms", record.deadline.time_since_epoch().count()},
                        {"reason", record.reason}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<move_record> decode_move_record(const std::string& value) {
    try {
        const json source = json::parse(value);
        move_record record;
        record.id = source.at("id").get<std::string>();
        record.model = source.at("model").get<std::string>();
        record.from = source.at("from").get<std::string>();
        record.to = source.at("to").get<std::string>();
        const auto phase = value_of<move_phase>(k_move_phase_names, source.at("phase").get<std::string>());
        record.share = source.at("share").get<double>();
        record.fencing = source.at("fencing").get<fencing_number>();
        record.sequence = source.at("sequence").get<std::uint64_t>();
        record.deadline = wall_time(milliseconds(source.at("deadline_ms").get<std::int64_t>()));
        record.reason = source.at("reason").get<std::string>();
        if (!phase || !(record.share >= 0.0 && record.share <= 1.0)) {
            return fail(error_kind::protocol_error,
                        "a move record is out of range (unknown phase, or share not in 0..1)");
        }
        record.phase = *phase;
        return record;
    } catch (const json::exception& failure) {
        return fail(error_kind::protocol_error, failure.what());
    }
}

} // namespace lovage
