#include "lovage/adapters/move_codec.h"

#include "lovage/core/time_limits.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lovage {

namespace {

using nlohmann::json;

std::optional<std::uint64_t> read_unsigned(const json& source, const char* name) {
    const json& field = source.at(name);
    return field.is_number_unsigned() ? std::optional(field.get<std::uint64_t>()) : std::nullopt;
}

} // namespace

json describe_move(const move_record& record) {
    return {{"id", record.id},
            {"model", record.model},
            {"from", record.from},
            {"to", record.to},
            {"phase", name_of(k_move_phase_names, record.phase)},
            {"share", record.share},
            {"fencing", record.fencing},
            {"sequence", record.sequence},
            {"deadline_ms", record.deadline.time_since_epoch().count()},
            {"reason", record.reason}};
}

std::string encode_move_record(const move_record& record) {
    return describe_move(record).dump(-1, ' ', false, json::error_handler_t::replace);
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
        const auto fencing = read_unsigned(source, "fencing");
        const auto sequence = read_unsigned(source, "sequence");
        const auto deadline = read_unsigned(source, "deadline_ms");
        record.reason = source.at("reason").get<std::string>();
        constexpr auto k_latest_ms =
            static_cast<std::uint64_t>(k_latest_wall_time.time_since_epoch().count());
        if (!phase || !(record.share >= 0.0 && record.share <= 1.0) || !fencing || !sequence || !deadline ||
            *deadline > k_latest_ms) {
            return fail(error_kind::protocol_error,
                        "a move record is out of range (unknown phase, share not in 0..1, or a number)");
        }
        record.phase = *phase;
        record.fencing = *fencing;
        record.sequence = *sequence;
        record.deadline = wall_time(milliseconds(*deadline));
        return record;
    } catch (const json::exception& failure) {
        return fail(error_kind::protocol_error, failure.what());
    }
}

} // namespace lovage
