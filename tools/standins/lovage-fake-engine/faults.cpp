#include "faults.h"

#include "standins/json_http.h"
#include "standins/setting_names.h"

#include <nlohmann/json.hpp>

namespace lovage::standins {

namespace {

using nlohmann::json;

constexpr milliseconds k_longest_delay{3'600'000};
constexpr double k_largest_factor = 1e6;

const field_setters<stream_fault> k_stream_fields{
    {"kind",
     [](stream_fault& fault, const json& value) {
         fault.kind = parse_enum<stream_fault_kind>(k_stream_fault_kind_names, value);
     }},
    {"at", [](stream_fault& fault, const json& value) { fault.at = value.get<token_index>(); }},
    {"streams", [](stream_fault& fault, const json& value) { fault.streams = value.get<std::int64_t>(); }},
};

const field_setters<bad_version> k_version_fields{
    {"fault", [](bad_version& bad,
                 const json& value) { bad.fault = parse_enum<version_fault>(k_version_fault_names, value); }},
    {"after_ms",
     [](bad_version& bad, const json& value) { bad.after = milliseconds(value.get<std::uint32_t>()); }},
    {"min_running",
     [](bad_version& bad, const json& value) { bad.min_running = value.get<std::uint32_t>(); }},
    {"route", [](bad_version& bad, const json& value) { bad.route = value.get<std::string>(); }},
    {"share", [](bad_version& bad, const json& value) { bad.share = value.get<double>(); }},
    {"slow_factor", [](bad_version& bad, const json& value) { bad.slow_factor = value.get<double>(); }},
    {"truncate_after",
     [](bad_version& bad, const json& value) { bad.truncate_after = value.get<token_index>(); }},
};

const field_setters<engine_faults> k_engine_fields{
    {"die_after_tokens",
     [](engine_faults& faults, const json& value) { faults.die_after_tokens = value.get<std::uint64_t>(); }},
    {"pause_ms", [](engine_faults& faults,
                    const json& value) { faults.pause = milliseconds(value.get<std::uint32_t>()); }},
    {"slow_factor",
     [](engine_faults& faults, const json& value) { faults.slow_factor = value.get<double>(); }},
    {"refuse", [](engine_faults& faults, const json& value) { faults.refuse = value.get<bool>(); }},
    {"load_delay_ms",
     [](engine_faults& faults, const json& value) {
         faults.load_delay = milliseconds(value.get<std::uint32_t>());
     }},
    {"stream",
     [](engine_faults& faults, const json& value) {
         faults.stream = {};
         set_fields(faults.stream, value, k_stream_fields);
     }},
    {"bad_versions",
     [](engine_faults& faults, const json& value) {
         faults.bad_versions.clear();
         for (const auto& [version, fields] : value.get<std::map<std::string, json>>()) {
             set_fields(faults.bad_versions[version], fields, k_version_fields);
         }
     }},
};

bad_version read_bad_version(settings_reader& reader, const std::string& version) {
    const std::string key = "bad_version." + version + ".";
    bad_version bad;
    bad.fault = read_enum_setting<version_fault>(reader, key + "fault", k_version_fault_names);
    bad.after = reader.duration_ms(key + "after_ms", bad.after, milliseconds{0}, k_longest_delay);
    bad.min_running = static_cast<std::uint32_t>(reader.integer(key + "min_running", 0, 0, 100'000));
    bad.route = reader.text(key + "route", "");
    bad.share = reader.number(key + "share", bad.share, 0.0, 1.0);
    bad.slow_factor = reader.number(key + "slow_factor", bad.slow_factor, 1.0, k_largest_factor);
    bad.truncate_after = static_cast<token_index>(
        reader.integer(key + "truncate_after", bad.truncate_after, 0, 1'000'000'000));
    return bad;
}

} // namespace

bool is_fault_active(const bad_version& bad, milliseconds since_load, std::uint32_t running,
                     const std::string& route) {
    return bad.fault != version_fault::none && since_load >= bad.after && running >= bad.min_running &&
           (bad.route.empty() || bad.route == route);
}

engine_faults read_faults(settings_reader& reader) {
    engine_faults faults;
    faults.die_after_tokens =
        static_cast<std::uint64_t>(reader.integer("faults.die_after_tokens", 0, 0, 1'000'000'000'000));
    faults.pause = reader.duration_ms("faults.pause_ms", faults.pause, milliseconds{0}, k_longest_delay);
    faults.slow_factor = reader.number("faults.slow_factor", faults.slow_factor, 0.0, k_largest_factor);
    faults.refuse = reader.flag("faults.refuse", false);
    faults.load_delay =
        reader.duration_ms("faults.load_delay_ms", faults.load_delay, milliseconds{0}, k_longest_delay);
    faults.stream.kind =
        read_enum_setting<stream_fault_kind>(reader, "faults.stream.kind", k_stream_fault_kind_names);
    faults.stream.at = static_cast<token_index>(reader.integer("faults.stream.at", 0, 0, 1'000'000'000));
    faults.stream.streams = reader.integer("faults.stream.streams", -1, -1, 1'000'000'000);
    for (const auto& version : reader.texts("bad_versions")) {
        faults.bad_versions[version] = read_bad_version(reader, version);
    }
    return faults;
}

result<engine_faults> apply_faults(engine_faults faults, const json& change) {
    try {
        set_fields(faults, change, k_engine_fields);
    } catch (const std::exception& failure) {
        return fail(error_kind::invalid_request, failure.what());
    }
    return faults;
}

json to_json(const engine_faults& faults) {
    json versions = json::object();
    for (const auto& [version, bad] : faults.bad_versions) {
        versions[version] = {{"fault", name_of(k_version_fault_names, bad.fault)},
                             {"after_ms", bad.after.count()},
                             {"min_running", bad.min_running},
                             {"route", bad.route},
                             {"share", bad.share},
                             {"slow_factor", bad.slow_factor},
                             {"truncate_after", bad.truncate_after}};
    }
    return {{"die_after_tokens", faults.die_after_tokens},
            {"pause_ms", faults.pause.count()},
            {"slow_factor", faults.slow_factor},
            {"refuse", faults.refuse},
            {"load_delay_ms", faults.load_delay.count()},
            {"stream",
             {{"kind", name_of(k_stream_fault_kind_names, faults.stream.kind)},
              {"at", faults.stream.at},
              {"streams", faults.stream.streams}}},
            {"bad_versions", versions}};
}

} // namespace lovage::standins
