#include "entry_settings.h"

namespace lovage {

namespace {

constexpr milliseconds k_none{0};
constexpr milliseconds k_minute{60'000};
constexpr std::int64_t k_gibibyte = 1LL << 30;

} // namespace

void read_entry_settings(settings_reader& reader, entry_settings& settings) {
    settings.node = reader.required_text("node");
    settings.zone = reader.required_text("zone");
    settings.region = reader.required_text("region");
    settings.http_address = reader.required_address("http.address");
    settings.max_connections = static_cast<std::uint32_t>(
        reader.integer("http.max_connections", settings.max_connections, 1, 100'000));
    settings.max_body_bytes = static_cast<std::size_t>(reader.integer(
        "http.max_body_bytes", static_cast<std::int64_t>(settings.max_body_bytes), 1'024, 64LL << 20));
    settings.peer_address = reader.required_address("peer.address");
    settings.gossip_address = reader.address("gossip.address", "");
    settings.gossip_seeds = reader.addresses("gossip.seeds");
    settings.store_address = reader.address("store.address", "");
    settings.grace = reader.duration_ms("drain.grace_ms", settings.grace, k_none, 60 * k_minute);

    session_options& session = settings.options.session;
    session.self = settings.node;
    session.region = settings.region;
    session.abandoned_after =
        reader.duration_ms("answers.abandoned_after_ms", session.abandoned_after, k_none, 60 * k_minute);
    session.adoption_wait =
        reader.duration_ms("answers.adoption_wait_ms", session.adoption_wait, k_none, k_minute);
    session_table_options& table = settings.options.table;
    table.retention = reader.duration_ms("answers.retention_ms", table.retention, k_none, 60 * k_minute);
    table.max_finished_bytes = static_cast<std::size_t>(reader.integer(
        "answers.max_finished_bytes", static_cast<std::int64_t>(table.max_finished_bytes), 0, k_gibibyte));
    settings.options.max_live_answers = static_cast<std::size_t>(reader.integer(
        "answers.max_live", static_cast<std::int64_t>(settings.options.max_live_answers), 1, 1'000'000));

    settings.options.max_queued = static_cast<std::size_t>(reader.integer(
        "admission.max_queued", static_cast<std::int64_t>(settings.options.max_queued), 1, 1'000'000));
    settings.options.zone = settings.zone;
    const auto policy = value_of<routing_policy>(
        k_routing_policy_names,
        reader.text("routing.policy",
                    std::string(name_of(k_routing_policy_names, routing_policy::two_choices))));
    if (!policy) {
        reader.problem("routing.policy", "two_choices, round_robin or least_reported");
    }
    settings.options.routing = policy.value_or(routing_policy::two_choices);
    if (!settings.store_address.empty() && settings.gossip_address.empty()) {
        reader.problem("gossip.address", "an address, since store.address is set");
    }

    settings.static_members = reader.texts("static_members");
    settings.static_config = reader.text("static_config", "");
    settings.static_services = reader.texts("static_services");
}

} // namespace lovage
