#include "fleet_world.h"

#include "unit/control_exchange.h"
#include "virtual_network.h"

#include "lovage/adapters/move_codec.h"
#include "lovage/control/home_change.h"
#include "lovage/control/home_entry.h"
#include "lovage/control/serving_version.h"
#include "lovage/core/not_run.h"
#include "lovage/core/order_guard.h"
#include "lovage/core/routing.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace lovage::scenarios {

namespace {

constexpr milliseconds k_step{50};
constexpr int k_steps_per_report = 5;
constexpr std::uint64_t k_steps_per_evidence = k_evidence_report_interval / k_step;
// Time for the fleet to form before the scenario starts at time 0.
constexpr milliseconds k_warm_up{6'000};
constexpr milliseconds k_load_time{1'000};
// A leaving target must get no new work after this time (guarantee P7).
constexpr milliseconds k_leave_propagation_limit{3'000};
constexpr std::uint32_t k_slots = 8;
constexpr double k_requests_per_report = 10.0;
constexpr double k_baseline_failure_rate = 0.002;
constexpr std::array<const char*, 2> k_routes{"summaries", "search"};
constexpr const char* k_store = "store";
constexpr const char* k_region = "ua";

struct agent {
    std::vector<loaded_version> loaded{{"history", "v1", ""}};
    order_guard guard;
    std::vector<std::pair<time_point, order_message>> loading;
};

// A defect of the new version: a share of its requests fails or has a slow first token.
struct version_defect {
    milliseconds from{0};
    milliseconds until{0};
    double rate = 0.0;
    std::string route;
    bool is_slow = false;
};

// A request with the entries that dispatched it.
struct tracked_request {
    request_id id;
    std::set<node_id> dispatched_by;
};

struct fleet_world {
    const scenario& scenario_spec;
    control_exchange exchange;
    virtual_clock clock;
    std::mt19937_64 random;
    partition_list partitions;
    std::map<node_id, scenario_actor> actors;
    std::map<node_id, incarnation> incarnations;
    std::map<node_id, agent> agents;
    // Highest fencing token of the orders that each agent accepted, over all its incarnations.
    std::map<node_id, fencing_number> highest_accepted;
    std::map<node_id, milliseconds> shutdown_requested_at;
    std::map<node_id, milliseconds> order_delays;
    std::map<std::string, tracked_request> requests;
    std::map<std::string, fleet_config> configs;
    std::map<node_id, std::map<std::string, route_evidence>> evidence_sums;
    std::vector<version_defect> defects;
    std::vector<std::pair<config_revision, milliseconds>> edits_in_progress;
    std::set<fencing_number> terms;
    std::optional<milliseconds> first_bad_request;
    std::optional<milliseconds> last_bad_request;
    int steps = 0;
    run_outcome outcome;

    explicit fleet_world(const scenario& from)
        : scenario_spec(from), exchange(from.seed), random(from.seed) {}
    fleet_world(const fleet_world&) = delete;
    fleet_world& operator=(const fleet_world&) = delete;

    milliseconds now() const { return clock.now; }
    void add_fact(const std::string& name, double by) { outcome.facts[name] += by; }

    bool is_running(const node_id& name) const {
        const auto found = exchange.nodes.find(name);
        return found != exchange.nodes.end() && !found->second.is_paused;
    }

    bool reaches(const node_id& from, const node_id& to) const {
        const auto zone = [this](const node_id& name) {
            return name == k_store ? std::string("store zone") : actors.at(name).zone;
        };
        return !partitions.blocks(from, zone(from), to, zone(to));
    }

    // ---- start ----

    void start_node(const node_id& name) {
        const scenario_actor& actor = actors.at(name);
        std::vector<std::string> seeds;
        for (const auto& [other, info] : actors) {
            if (info.role == node_role::entry && seeds.size() < 3) {
                seeds.push_back(other);
            }
        }
        exchange.add(name, actor.zone, seeds, actor.role, ++incarnations[name]);
        evidence_sums.erase(name);
        if (actor.role == node_role::agent) {
            agents[name] = {};
        }
    }

    void prepare() {
        exchange.codecs.parse_config = [this](const std::string& document) -> result<fleet_config> {
            const auto found = configs.find(document);
            return found == configs.end()
                       ? result<fleet_config>(fail(error_kind::invalid_configuration, "unknown"))
                       : result<fleet_config>(found->second);
        };
        exchange.codecs.encode_move = encode_move_record;
        exchange.codecs.decode_move = decode_move_record;
        exchange.link = [this](const node_id& from, const node_id& to) { return reaches(from, to); };
        exchange.store_link = [this](const node_id& name) { return reaches(name, k_store); };
        for (const auto& actor : scenario_spec.actors) {
            actors[actor.name] = actor;
        }
        const auto replicas = std::count_if(actors.begin(), actors.end(), [](const auto& item) {
            return item.second.role == node_role::agent;
        });
        fleet_config base;
        base.models = {{"history", "v1", static_cast<std::uint32_t>(replicas)}};
        configs["base"] = base;
        exchange.store.put("config/current", "base");
        for (const auto& actor : scenario_spec.actors) {
            start_node(actor.name);
        }
        exchange.run_for(k_warm_up);
        for (const auto& event : scenario_spec.events) {
            clock.at(event.at, [this, &event] { apply(event); });
        }
    }

    // ---- operators ----

    void write_config(const std::string& document, std::uint64_t expected) {
        store_request wanted;
        wanted.operation = store_operation::compare_and_swap;
        wanted.key = "config/current";
        wanted.value = document;
        wanted.revision = expected;
        const std::uint64_t before = exchange.store.revision;
        const store_reply reply = exchange.store.run(wanted, exchange.now);
        const bool is_accepted = exchange.store.revision > before;
        add_fact(is_accepted ? "edits_accepted" : "edits_refused", 1);
        if (is_accepted) {
            edits_in_progress.emplace_back(exchange.store.revision, now());
        }
    }

    std::uint64_t config_revision_in_store() {
        const auto found = exchange.store.items.find("config/current");
        return found == exchange.store.items.end() ? 0 : found->second.value.revision;
    }

    void edit(const scenario_event& event) {
        // The operator reads, edits for the duration of the event and writes on the revision that was read.
        const std::string document = "edit " + event.text;
        configs[document] = configs.at("base");
        clock.after(event.duration,
                    [this, document, read = config_revision_in_store()] { write_config(document, read); });
    }

    void start_move(const scenario_event& event) {
        fleet_config moving = configs.at("base");
        moving.moves = {
            {"m", "history", "v1", "v2", move_strategy::canary, exchange.wall() + event.duration}};
        configs["base"] = moving;
        const std::string document = "move";
        configs[document] = moving;
        write_config(document, config_revision_in_store());
    }

    // ---- requests ----

    // Returns the request named by the event. A new one gets an id whose home is the event's peer, if set,
    // while all entries are alive.
    tracked_request& find_or_add_request(const scenario_event& event) {
        const auto [found, is_new] = requests.try_emplace(event.text);
        if (is_new) {
            fleet_view all;
            for (const auto& [name, actor] : actors) {
                member_info member;
                member.node = name;
                member.role = actor.role;
                member.region = k_region;
                all.members.push_back(member);
            }
            std::uint64_t number = 0;
            do {
                found->second.id =
                    request_id::from_key("organisation", event.text + std::to_string(number++));
            } while (!event.peer.empty() && home_entry(all, found->second.id, k_region)->node != event.peer);
        }
        return found->second;
    }

    // Returns the home entry of the request in the view of `receiver`, or nothing if either is not running or
    // the home cannot be reached.
    std::optional<node_id> home_seen_by(const node_id& receiver, const request_id& request) const {
        if (!is_running(receiver)) {
            return std::nullopt;
        }
        const member_info* home = home_entry(*exchange.nodes.at(receiver).view, request, k_region);
        if (home == nullptr ||
            (home->node != receiver && !(is_running(home->node) && reaches(receiver, home->node)))) {
            return std::nullopt;
        }
        return home->node;
    }

    void request(const scenario_event& event) {
        tracked_request& item = find_or_add_request(event);
        if (const auto home = home_seen_by(event.actor, item.id)) {
            item.dispatched_by.insert(*home);
            add_fact("dispatched_by_" + *home, 1);
        } else {
            add_fact("unreachable", 1);
        }
    }

    // The home entry refuses the request without dispatching it, for example because its queue is full.
    void refuse_request(const scenario_event& event) {
        tracked_request& item = find_or_add_request(event);
        const auto home = home_seen_by(event.actor, item.id);
        if (!home) {
            add_fact("unreachable", 1);
            return;
        }
        const fleet_view& view = *exchange.nodes.at(*home).view;
        not_run_conditions facts;
        const member_info* own = home_entry(view, item.id, k_region);
        facts.is_home = own != nullptr && own->node == *home;
        facts.dispatched = item.dispatched_by.count(*home) > 0;
        facts.home_changed_at = home_changed_at(view, item.id, k_region);
        facts.entry_failed_at = entry_failed_at(view);
        const bool reports_not_run = is_not_run(facts, exchange.now);
        add_fact(reports_not_run ? "said_not_run" : "said_nothing_certain", 1);
        check_invariant(
            outcome, invariant::not_run_is_true, !reports_not_run || item.dispatched_by.empty(), now(),
            *home + " says not run, but " + (item.dispatched_by.empty() ? "" : *item.dispatched_by.begin()) +
                " dispatched the request");
    }

    // ---- faults ----

    void schedule_undo(const scenario_event& event, std::function<void()> undo) {
        if (event.duration > milliseconds{0}) {
            clock.after(event.duration, std::move(undo));
        }
    }

    void crash(const scenario_event& event) {
        if (exchange.nodes.erase(event.actor) == 0) {
            return;
        }
        shutdown_requested_at.erase(event.actor);
        for (auto& [name, item] : requests) {
            item.dispatched_by.erase(event.actor);
        }
        schedule_undo(event, [this, name = event.actor] { start_node(name); });
    }

    void pause(const scenario_event& event) {
        const auto found = exchange.nodes.find(event.actor);
        if (found == exchange.nodes.end() || found->second.is_paused) {
            return;
        }
        found->second.is_paused = true;
        schedule_undo(event, [this, name = event.actor, paused_incarnation = incarnations[event.actor]] {
            if (exchange.nodes.count(name) > 0 && incarnations[name] == paused_incarnation) {
                exchange.resume(name);
            }
        });
    }

    void cut(const scenario_event& event) {
        partitions.add(event.actor, event.peer);
        schedule_undo(event, [this, event] { partitions.remove(event.actor, event.peer); });
    }

    void leave(const scenario_event& event) {
        if (is_running(event.actor) && shutdown_requested_at.count(event.actor) == 0) {
            shutdown_requested_at[event.actor] = now();
            exchange.post(event.actor, leave_event{});
        }
    }

    void store_down(const scenario_event& event) {
        exchange.store.is_down = true;
        schedule_undo(event, [this] { exchange.store.is_down = false; });
    }

    void lose_answers(const scenario_event& event) {
        exchange.store.loses_answers = true;
        schedule_undo(event, [this] { exchange.store.loses_answers = false; });
    }

    void add_defect(const scenario_event& event) {
        const milliseconds until =
            event.duration == milliseconds{0} ? milliseconds::max() : now() + event.duration;
        defects.push_back({now(), until, event.value, event.peer, event.text == "slow"});
    }

    void unload(const scenario_event& event) {
        if (const auto found = agents.find(event.actor); found != agents.end()) {
            found->second.loaded.clear();
        }
    }

    void delay_orders(const scenario_event& event) {
        order_delays[event.actor] = milliseconds{static_cast<std::int64_t>(event.value)};
        schedule_undo(event, [this, name = event.actor] { order_delays.erase(name); });
    }

    void apply(const scenario_event& event) {
        using handler = void (fleet_world::*)(const scenario_event&);
        static const std::map<event_kind, handler> handlers{
            {event_kind::crash, &fleet_world::crash},
            {event_kind::pause, &fleet_world::pause},
            {event_kind::cut, &fleet_world::cut},
            {event_kind::leave, &fleet_world::leave},
            {event_kind::store_down, &fleet_world::store_down},
            {event_kind::lose_answers, &fleet_world::lose_answers},
            {event_kind::request, &fleet_world::request},
            {event_kind::refused_request, &fleet_world::refuse_request},
            {event_kind::edit, &fleet_world::edit},
            {event_kind::move, &fleet_world::start_move},
            {event_kind::bad_version, &fleet_world::add_defect},
            {event_kind::unload, &fleet_world::unload},
            {event_kind::delay_orders, &fleet_world::delay_orders},
        };
        (this->*handlers.at(event.kind))(event);
    }

    // ---- agents ----

    void deliver_orders() {
        for (auto& [name, node] : exchange.nodes) {
            const auto delay = order_delays.find(name);
            for (auto& [to, order] : node.orders) {
                if (reaches(name, to)) {
                    clock.after(delay == order_delays.end() ? milliseconds{1} : delay->second,
                                [this, to = to, order = order] { on_order(to, order); });
                }
            }
            node.orders.clear();
        }
        for (auto& [name, current] : agents) {
            for (const auto& [ready, order] : current.loading) {
                if (exchange.now >= ready && order.kind == order_kind::load_version) {
                    current.loaded.push_back(order.version);
                }
            }
            current.loading.erase(
                std::remove_if(current.loading.begin(), current.loading.end(),
                               [this](const auto& item) { return exchange.now >= item.first; }),
                current.loading.end());
        }
    }

    void on_order(const node_id& name, const order_message& order) {
        if (!is_running(name)) {
            return;
        }
        agent& self = agents.at(name);
        if (!self.guard.highest && !exchange.store.is_down && reaches(name, k_store)) {
            const auto leader = exchange.store.items.find(std::string(k_leader_key));
            record_term(self.guard, leader == exchange.store.items.end() ? 0 : leader->second.value.revision);
        }
        if (!admit_order(self.guard, order)) {
            add_fact("orders_refused", 1);
            return;
        }
        add_fact("orders_accepted", 1);
        fencing_number& highest = highest_accepted[name];
        check_invariant(outcome, invariant::one_accepted_leader, order.fencing >= highest, now(),
                        name + " accepts an order of term " + std::to_string(order.fencing) +
                            " after one of term " + std::to_string(highest));
        highest = std::max(highest, order.fencing);
        self.loading.emplace_back(exchange.now + k_load_time, order);
    }

    void report_loads() {
        for (const auto& [name, current] : agents) {
            if (!is_running(name)) {
                continue;
            }
            load_report_message report;
            report.target = name;
            report.loaded = current.loaded;
            report.slots = k_slots;
            report.engine_up = true;
            for (const auto& [entry, actor] : actors) {
                if (actor.role == node_role::entry && reaches(name, entry)) {
                    exchange.post(entry, load_report_event{name, report});
                }
            }
        }
    }

    // ---- traffic ----

    template <class Function>
    void for_running_entries(Function function) {
        for (const auto& [name, actor] : actors) {
            if (actor.role == node_role::entry && is_running(name)) {
                function(name, exchange.nodes.at(name));
            }
        }
    }

    static double share_in(const fleet_view& view) {
        return view.moves.empty() || !view.vetoed_moves.empty() ? 0.0 : view.moves[0].share;
    }

    double failure_rate(const std::string& route, bool slow) const {
        double rate = slow ? 0.0 : k_baseline_failure_rate;
        for (const auto& defect : defects) {
            if (now() >= defect.from && now() < defect.until && defect.is_slow == slow &&
                (defect.route.empty() || defect.route == route)) {
                rate = std::max(rate, defect.rate);
            }
        }
        return rate;
    }

    void add_requests(const node_id& entry, const std::string& version, const std::string& route,
                      std::uint64_t count) {
        const bool is_new = version == "v2";
        const auto draw = [&](double rate) {
            return std::binomial_distribution<std::uint64_t>(count, rate)(random);
        };
        route_evidence& sum = evidence_sums[entry][version + route];
        sum.model = "history";
        sum.version = version;
        sum.route = route;
        sum.requests += count;
        sum.failures += draw(is_new ? failure_rate(route, false) : k_baseline_failure_rate);
        sum.slow_first_tokens += draw(is_new ? failure_rate(route, true) : 0.0);
        const bool is_bad =
            is_new && count > 0 &&
            (failure_rate(route, false) > k_baseline_failure_rate || failure_rate(route, true) > 0.0);
        if (is_bad) {
            add_fact("bad_requests", static_cast<double>(count));
            first_bad_request = first_bad_request.value_or(now());
            last_bad_request = now();
        }
    }

    void send_traffic() {
        for_running_entries([this](const node_id& name, const exchange_node& node) {
            for (const auto* route : k_routes) {
                const auto count =
                    std::poisson_distribution<std::uint64_t>(k_requests_per_report / 2.0)(random);
                std::uint64_t moved = 0;
                for (std::uint64_t sent = 0; sent < count; ++sent) {
                    const request_id id{random(), random()};
                    moved +=
                        serving_version(*node.view, "history", id, exchange.wall()).version == "v2" ? 1 : 0;
                }
                add_fact("new_requests", static_cast<double>(moved));
                add_requests(name, "v1", route, count - moved);
                add_requests(name, "v2", route, moved);
            }
        });
    }

    // Entries report at the report interval, each in a different step.
    void send_evidence() {
        for_running_entries([this](const node_id& name, const exchange_node& node) {
            const auto phase = hash_bytes(name) % k_steps_per_evidence;
            if (static_cast<std::uint64_t>(steps) % k_steps_per_evidence != phase) {
                return;
            }
            evidence_message message;
            for (const auto& [key, sum] : evidence_sums[name]) {
                message.items.push_back(sum);
            }
            exchange.post(name, evidence_event{name, message});
            const node_id leader = node.view->leader;
            if (leader != name && exchange.nodes.count(leader) > 0 && reaches(name, leader)) {
                exchange.post(leader, evidence_event{name, message}, milliseconds{1});
            }
        });
    }

    // ---- checks ----

    void check_configuration() {
        for (const auto& [name, node] : exchange.nodes) {
            const auto& seen = node.revisions;
            const std::size_t last = seen.size();
            check_invariant(outcome, invariant::config_never_reverts,
                            last < 2 || seen[last - 1] > seen[last - 2], now(),
                            name + " reverted to an older revision");
        }
        if (!edits_in_progress.empty()) {
            const auto [revision, since] = edits_in_progress.back();
            if (is_applied_everywhere(revision)) {
                double& longest = outcome.facts["longest_spread_ms"];
                longest = std::max(longest, static_cast<double>((now() - since).count()));
                edits_in_progress.clear();
            }
        }
    }

    bool is_applied_everywhere(config_revision revision) const {
        return std::all_of(exchange.nodes.begin(), exchange.nodes.end(), [&](const auto& item) {
            return item.second.state.propagation.revision >= revision;
        });
    }

    void check_leaders() {
        const auto leaders = exchange.leaders();
        check_invariant(outcome, invariant::one_leader, leaders.size() <= 1, now(),
                        std::to_string(leaders.size()) + " leaders");
        for (const auto& name : leaders) {
            terms.insert(exchange.nodes.at(name).state.leadership.term);
        }
    }

    void check_shares() {
        for_running_entries([this](const node_id& name, const exchange_node& node) {
            for (const auto& move : node.view->moves) {
                const bool is_capped = move.phase == move_phase::loading || move.phase == move_phase::canary;
                check_invariant(outcome, invariant::share_bounded,
                                !is_capped || move.share <= k_max_canary_share, now(),
                                name + " gives a version that is still loading or in canary a share of " +
                                    std::to_string(move.share));
            }
        });
    }

    void check_leaving() {
        for (const auto& [leaving_node, since] : shutdown_requested_at) {
            if (now() - since <= k_leave_propagation_limit || exchange.nodes.count(leaving_node) == 0) {
                continue;
            }
            for_running_entries([&, name = leaving_node](const node_id& entry, const exchange_node& node) {
                if (!reaches(name, entry) || !reaches(entry, name)) {
                    return;
                }
                target_state target;
                target.report.engine_up = true;
                target.report.loaded = {{"history", "v1", ""}};
                for (const auto& member : node.view->members) {
                    // An entry connects to the agents in its view.
                    target.connected = target.connected || member.node == name;
                    target.leaving =
                        target.leaving || (member.node == name && member.state != member_state::alive &&
                                           member.state != member_state::suspect);
                }
                check_invariant(outcome, invariant::no_work_when_leaving,
                                !is_eligible(target, {"history", "v1", "", {}, false, 0}), now(),
                                entry + " still sends work to " + name);
            });
        }
    }

    void step() {
        clock.run_until(clock.now + k_step);
        exchange.run_for(k_step);
        deliver_orders();
        if (steps % k_steps_per_report == 0) {
            report_loads();
            send_traffic();
        }
        send_evidence();
        check_configuration();
        check_leaders();
        check_shares();
        check_leaving();
        ++steps;
    }

    void record_end_facts() {
        const config_revision newest = config_revision_in_store();
        for (const auto& [name, node] : exchange.nodes) {
            add_fact(node.state.propagation.revision < newest ? "nodes_behind" : "nodes_current", 1);
            for (const auto& move : node.view->moves) {
                add_fact("show_" + std::string(name_of(k_move_phase_names, move.phase)), 1);
            }
        }
        for_running_entries([this](const node_id&, const exchange_node& node) {
            double& largest = outcome.facts["largest_share"];
            largest = std::max(largest, share_in(*node.view));
        });
        for (const auto& [name, current] : agents) {
            const bool has_old_version =
                std::any_of(current.loaded.begin(), current.loaded.end(),
                            [](const loaded_version& item) { return item.version == "v1"; });
            add_fact(has_old_version ? "agents_with_v1" : "agents_without_v1", 1);
        }
        outcome.facts["nodes"] = static_cast<double>(exchange.nodes.size());
        outcome.facts["leaders"] = static_cast<double>(exchange.leaders().size());
        outcome.facts["terms"] = static_cast<double>(terms.size());
        outcome.facts["edits_not_in_force"] = edits_in_progress.empty() ? 0.0 : 1.0;
        if (first_bad_request) {
            outcome.facts["bad_ms"] = static_cast<double>((*last_bad_request - *first_bad_request).count());
        }
    }
};

} // namespace

run_outcome run_fleet_world(const scenario& scenario_spec) {
    fleet_world world(scenario_spec);
    world.prepare();
    while (world.clock.now < scenario_spec.duration) {
        world.step();
    }
    world.record_end_facts();
    return world.outcome;
}

} // namespace lovage::scenarios
