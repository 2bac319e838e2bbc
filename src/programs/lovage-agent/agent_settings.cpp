#include "agent_settings.h"

#include <cstdint>
#include <limits>
#include <sstream>

namespace lovage {

namespace {

// Reads a member from a line "node role zone region peer_address http_address".
member_info read_member(settings_reader& reader, const std::string& line) {
    member_info member;
    std::string role;
    std::string extra;
    std::istringstream words(line);
    words >> member.node >> role >> member.zone >> member.region >> member.peer_address >>
        member.http_address;
    const auto known_role = value_of<node_role>(k_node_role_names, role);
    if (!words || words >> extra || !known_role || !parse_endpoint(member.peer_address) ||
        !parse_endpoint(member.http_address)) {
        reader.problem("static_members",
                       "\"node role zone region peer_address http_address\", not \"" + line + "\"");
    }
    member.role = known_role.value_or(node_role::entry);
    return member;
}

} // namespace

result<void> read_settings(settings_reader& reader, agent_settings& settings) {
    settings.self.node = reader.required_text("node");
    settings.self.zone = reader.required_text("zone");
    settings.self.region = reader.required_text("region");
    settings.self.role = node_role::agent;
    settings.self.incarnation = static_cast<incarnation>(wall_now().time_since_epoch().count());
    settings.http_address = reader.required_address("http.address");
    settings.peer_address = reader.required_address("peer.address");
    settings.gossip_address = reader.address("gossip.address", "");
    settings.gossip_seeds = reader.addresses("gossip.seeds");
    settings.store_address = reader.address("store.address", "");
    if (!settings.store_address.empty() && settings.gossip_address.empty()) {
        reader.problem("gossip.address", "an address, since store.address is set");
    }

    settings.target_address = reader.required_address("target.address");
    settings.agent.node = settings.self.node;
    settings.agent.incarnation = settings.self.incarnation;
    settings.agent.target = reader.required_text("target.name");
    settings.agent.services = reader.texts("target.services");
    const auto kind = value_of<target_kind>(k_target_kind_names, reader.text("target.kind", "engine"));
    if (!kind) {
        reader.problem("target.kind", "\"engine\" or \"service\"");
    }
    settings.agent.kind = kind.value_or(target_kind::engine);
    settings.engine_silence = reader.duration_ms("target.engine_silence_ms", settings.engine_silence,
                                                 milliseconds(100), milliseconds(60'000));
    auto& calls = settings.agent.calls;
    calls.slots = static_cast<std::uint32_t>(reader.integer("target.call_slots", calls.slots, 1, 1'024));
    calls.max_queued =
        static_cast<std::uint32_t>(reader.integer("target.max_queued_calls", calls.max_queued, 0, 65'536));
    auto& generations = settings.agent.generations;
    generations.default_slots = static_cast<std::uint32_t>(
        reader.integer("target.default_slots", generations.default_slots, 1, 4'096));
    generations.max_queued =
        static_cast<std::uint32_t>(reader.integer("target.max_queued", generations.max_queued, 0, 4'096));
    settings.drain_limit =
        reader.duration_ms("drain_limit_ms", settings.drain_limit, milliseconds(0), milliseconds(3'600'000));
    for (const auto& line : reader.texts("static_members")) {
        settings.static_members.push_back(read_member(reader, line));
    }
    settings.static_term = static_cast<fencing_number>(
        reader.integer("static_term", 0, 0, std::numeric_limits<std::int64_t>::max()));
    return {};
}

} // namespace lovage
