#include "control_exchange.h"

#include "lovage/adapters/move_codec.h"

#include <algorithm>

namespace lovage {

namespace {

constexpr milliseconds k_step_interval{250};
constexpr std::size_t k_entries = 3;
constexpr std::size_t k_agents = 4;

struct simulated_agent {
    std::vector<loaded_version> loaded{{"history", "v1", ""}};
    fencing_number highest = 0;
    std::uint64_t stale_orders = 0;
    std::vector<std::pair<time_point, order_message>> running;
};

// A fleet of entries and agents with traffic, in simulated time.
struct fleet_simulation {
    control_exchange exchange;
    std::map<std::string, simulated_agent> agents;
    std::map<std::string, fleet_config> configs;
    std::map<std::string, std::map<std::string, route_evidence>> evidence_by_entry;
    std::mt19937_64 random;
    // Probability that a request to the new version fails, and from when on.
    double failure = 0.0;
    time_point failing_from = time_point::max();
    std::uint64_t new_requests = 0;
    std::uint64_t requests = 0;
    int step = 0;

    explicit fleet_simulation(std::uint64_t seed) : exchange(seed), random(seed) {}
    fleet_simulation(const fleet_simulation&) = delete;
    fleet_simulation& operator=(const fleet_simulation&) = delete;

    void start(milliseconds until_deadline, std::uint32_t replicas = k_agents) {
        exchange.codecs.parse_config = [this](const std::string& document) -> result<fleet_config> {
            return configs.at(document);
        };
        exchange.codecs.encode_move = encode_move_record;
        exchange.codecs.decode_move = decode_move_record;
        fleet_config config;
        config.models = {{"history", "v1", replicas}};
        configs["base"] = config;
        config.moves = {{"m", "history", "v1", "v2", move_strategy::canary,
                         exchange.wall() + milliseconds{10'000} + until_deadline}};
        configs["move"] = config;
        exchange.store.put("config/current", "base");
        const char* zones[] = {"ua-a", "ua-b", "ua-c"};
        for (std::size_t i = 0; i < k_entries; ++i) {
            exchange.add("e" + std::to_string(i), zones[i], {"e0", "e1"});
        }
        for (std::size_t i = 0; i < k_agents; ++i) {
            const std::string name = "a" + std::to_string(i);
            exchange.add(name, zones[i % 3], {"e0", "e1"}, node_role::agent);
            agents[name];
        }
        run(milliseconds{10'000});
        exchange.store.put("config/current", "move");
    }

    void run(milliseconds duration) {
        const time_point end = exchange.now + duration;
        while (exchange.now < end) {
            exchange.run_for(k_step_interval);
            take_orders();
            report_loads();
            send_traffic();
            ++step;
        }
    }

    void take_orders() {
        for (auto& [name, node] : exchange.nodes) {
            for (auto& [agent, order] : node.orders) {
                simulated_agent& target = agents.at(agent);
                if (order.fencing < target.highest) {
                    ++target.stale_orders;
                    continue;
                }
                target.highest = order.fencing;
                target.running.emplace_back(exchange.now + milliseconds{1'000}, order);
            }
            node.orders.clear();
        }
        for (auto& [name, agent] : agents) {
            for (const auto& [ready, order] : agent.running) {
                if (exchange.now >= ready && order.kind == order_kind::load_version) {
                    agent.loaded.push_back(order.version);
                }
            }
            agent.running.erase(
                std::remove_if(agent.running.begin(), agent.running.end(),
                               [this](const auto& item) { return exchange.now >= item.first; }),
                agent.running.end());
        }
    }

    void report_loads() {
        for (const auto& [name, agent] : agents) {
            load_report_message report;
            report.target = name;
            report.loaded = agent.loaded;
            report.slots = 8;
            report.engine_up = true;
            for (std::size_t i = 0; i < k_entries; ++i) {
                exchange.post("e" + std::to_string(i), load_report_event{name, report});
            }
        }
    }

    double share_at(const std::string& entry) const {
        const auto view = exchange.nodes.at(entry).view;
        return view->moves.empty() || !view->vetoed_moves.empty() ? 0.0 : view->moves[0].share;
    }

    void send_traffic() {
        for (std::size_t i = 0; i < k_entries; ++i) {
            const std::string entry = "e" + std::to_string(i);
            const auto count = std::poisson_distribution<std::uint64_t>(10.0)(random);
            const auto new_version_count =
                std::binomial_distribution<std::uint64_t>(count, share_at(entry))(random);
            requests += count;
            new_requests += new_version_count;
            add(entry, "v1", count - new_version_count, 0.002);
            add(entry, "v2", new_version_count, exchange.now >= failing_from ? failure : 0.002);
            if (step % 4 != 0 || exchange.nodes.at(entry).is_paused) {
                continue;
            }
            evidence_message message;
            for (const auto& [version, sum] : evidence_by_entry[entry]) {
                message.items.push_back(sum);
            }
            const node_id leader = exchange.nodes.at(entry).view->leader;
            exchange.post(entry, evidence_event{entry, message});
            if (leader != entry && !leader.empty()) {
                exchange.post(leader, evidence_event{entry, message}, milliseconds{1});
            }
        }
    }

    void add(const std::string& entry, const std::string& version, std::uint64_t count, double rate) {
        route_evidence& sum = evidence_by_entry[entry][version];
        sum.model = "history";
        sum.version = version;
        sum.route = "summaries";
        sum.requests += count;
        sum.failures += std::binomial_distribution<std::uint64_t>(count, rate)(random);
    }

    bool all_show(move_phase phase) const {
        return std::all_of(exchange.nodes.begin(), exchange.nodes.end(), [phase](const auto& item) {
            return item.second.view->moves.size() == 1 && item.second.view->moves[0].phase == phase;
        });
    }

    double largest_share() const {
        double largest = 0.0;
        for (std::size_t i = 0; i < k_entries; ++i) {
            largest = std::max(largest, share_at("e" + std::to_string(i)));
        }
        return largest;
    }

    std::optional<move_record> stored() const {
        const auto found = exchange.store.items.find("moves/history");
        if (found == exchange.store.items.end()) {
            return std::nullopt;
        }
        return *decode_move_record(found->second.value.value);
    }
};

// Faults during a move and the phase in which it must end.
struct move_case {
    const char* name;
    double failure;
    // Seconds after the start of the move; negative for never.
    int failing_at;
    int store_down_at;
    int store_up_at;
    int leader_paused_at;
    int leader_resumed_at;
    move_phase expected;
};

void run_case(fleet_simulation& fleet, const move_case& test, int seconds) {
    const time_point start = fleet.exchange.now;
    fleet.failure = test.failure;
    if (test.failing_at >= 0) {
        fleet.failing_from = start + std::chrono::seconds{test.failing_at};
    }
    node_id paused;
    for (int at = 0; at < seconds; ++at) {
        if (at == test.store_down_at || at == test.store_up_at) {
            fleet.exchange.store.is_down = at == test.store_down_at;
        }
        if (at == test.leader_paused_at && !fleet.exchange.leaders().empty()) {
            paused = fleet.exchange.leaders().front();
            fleet.exchange.nodes.at(paused).is_paused = true;
        }
        if (at == test.leader_resumed_at && !paused.empty()) {
            fleet.exchange.resume(paused);
        }
        fleet.run(milliseconds{1'000});
    }
}

// Guards against good versions that are not rolled out by the deadline, and defective ones that are or that
// keep their traffic, with and without outages of the store and the leader.
TEST_CASE("moves of good versions land and moves of defective ones end in a rollback") {
    constexpr int never = -1;
    const auto test = GENERATE_COPY(from_range(std::vector<move_case>{
        {"good", 0.0, never, never, never, never, never, move_phase::landed},
        {"broken at once", 1.0, 0, never, never, never, never, move_phase::reverted},
        {"a third fails later", 0.3, 25, never, never, never, never, move_phase::reverted},
        {"broken after landing", 1.0, 130, never, never, never, never, move_phase::reverted},
        {"store down for a while", 0.0, never, 20, 40, never, never, move_phase::landed},
        {"store down at the deadline", 0.0, never, 20, 140, never, never, move_phase::reverted},
        {"broken while the store is down", 1.0, 25, 20, 140, never, never, move_phase::reverted},
        {"leader paused beyond its lease", 0.0, never, never, never, 15, 35, move_phase::landed},
        {"broken while the leader is paused", 1.0, 20, never, never, 15, 35, move_phase::reverted},
    }));
    const auto seed = GENERATE(range(1U, 4U));
    CAPTURE(test.name, seed);
    fleet_simulation fleet(seed);
    fleet.start(milliseconds{120'000});
    run_case(fleet, test, 150);
    CHECK(fleet.all_show(test.expected));
    REQUIRE(fleet.stored());
    CHECK(fleet.stored()->phase == test.expected);
    if (test.expected == move_phase::reverted) {
        CHECK(fleet.largest_share() == 0.0);
    }
}

// Guards against a good move that stops at the share that `replicas` targets can serve, while all targets
// have the old version loaded.
TEST_CASE("a good move lands whatever the surplus of the old version") {
    const auto replicas = GENERATE(range(1U, static_cast<std::uint32_t>(k_agents) + 1));
    CAPTURE(replicas);
    fleet_simulation fleet(10);
    fleet.start(milliseconds{120'000}, replicas);
    fleet.run(milliseconds{125'000});
    CHECK(fleet.all_show(move_phase::landed));
}

// Guards against a defective version that gets more than the canary share, or keeps getting traffic after its
// defect is detectable.
TEST_CASE("a version that is broken at the start gets a small share for a short time") {
    const auto seed = GENERATE(range(1U, 11U));
    CAPTURE(seed);
    fleet_simulation fleet(seed);
    fleet.start(milliseconds{120'000});
    fleet.failure = 1.0;
    fleet.failing_from = fleet.exchange.now;
    while (fleet.new_requests == 0) {
        fleet.run(k_step_interval);
    }
    const std::uint64_t before = fleet.requests;
    fleet.run(milliseconds{10'000});
    CHECK(fleet.largest_share() == 0.0);
    const double share =
        static_cast<double>(fleet.new_requests) / static_cast<double>(fleet.requests - before);
    CHECK(share <= k_max_canary_share);
}

// Guards against entries that keep sending requests to a version after its deadline because the store is
// unavailable and no rollback can be recorded.
TEST_CASE("during a store outage every entry reverts at the deadline") {
    fleet_simulation fleet(6);
    fleet.start(milliseconds{60'000});
    run_case(fleet, {"", 0.0, -1, 15, -1, -1, -1, move_phase::reverted}, 59);
    CHECK(fleet.largest_share() > 0.0);
    fleet.run(milliseconds{2'000});
    CHECK(fleet.largest_share() == 0.0);
    CHECK(fleet.all_show(move_phase::reverted));
    // The stored record is unchanged; entries decide without it.
    REQUIRE(fleet.stored());
    CHECK_FALSE(is_final(fleet.stored()->phase));
}

// Guards against a move that continues after the operators removed it from the configuration.
TEST_CASE("operators cancel a move") {
    fleet_simulation fleet(7);
    fleet.start(milliseconds{120'000});
    fleet.run(milliseconds{20'000});
    CHECK(fleet.largest_share() > 0.0);
    fleet.exchange.store.put("config/current", "base");
    fleet.run(milliseconds{3'000});
    for (const auto& [name, node] : fleet.exchange.nodes) {
        CHECK(node.view->moves.empty());
    }
    fleet.run(milliseconds{3'000});
    REQUIRE(fleet.stored());
    CHECK(fleet.stored()->phase == move_phase::reverted);
    CHECK(fleet.stored()->reason == "cancelled by the operators");
}

// Guards against a move that stops because the reply to a write that took effect was lost.
TEST_CASE("a move's record is read back after the answer to its write was lost") {
    fleet_simulation fleet(8);
    fleet.start(milliseconds{120'000});
    fleet.exchange.store.loses_answers = true;
    fleet.run(milliseconds{110'000});
    CHECK(fleet.all_show(move_phase::landed));
}

struct restored_move_case {
    const char* name;
    double failure;
    // When the copy is made, and when the store is restored from it, in seconds after the start of the move.
    int copied_at;
    int restored_at;
    move_phase expected;
};

// Guards against a move that is over and begins anew, or is taken back at its deadline, because a restored
// store has lost its record, and against one that does not go on.
TEST_CASE("a move survives a restoration of the store") {
    const auto test = GENERATE(from_range(std::vector<restored_move_case>{
        {"landed, no record in the copy", 0.0, 0, 112, move_phase::landed},
        {"landed, canary in the copy", 0.0, 30, 112, move_phase::landed},
        {"in progress, no record in the copy", 0.0, 0, 60, move_phase::landed},
        {"in progress, older record in the copy", 0.0, 30, 60, move_phase::landed},
        {"reverted, no record in the copy", 1.0, 0, 60, move_phase::reverted},
    }));
    const auto seed = GENERATE(range(1U, 4U));
    CAPTURE(test.name, seed);
    fleet_simulation fleet(seed);
    fleet.start(milliseconds{120'000});
    fleet.failure = test.failure;
    fleet.failing_from = fleet.exchange.now;
    fleet.run(std::chrono::seconds{test.copied_at});
    const auto copy = fleet.exchange.store;
    const auto copied_at = fleet.exchange.now;
    fleet.run(std::chrono::seconds{test.restored_at - test.copied_at});
    const double share = fleet.largest_share();
    const bool is_over = test.expected == move_phase::reverted || test.restored_at > 100;
    REQUIRE((!is_over || fleet.all_show(test.expected)));
    fleet.exchange.store.restore(copy, copied_at, fleet.exchange.now);
    for (int at = test.restored_at; at < 140; ++at) {
        fleet.run(milliseconds{1'000});
        CHECK((!is_over || fleet.all_show(test.expected)));
        CHECK((test.expected == move_phase::reverted || fleet.largest_share() >= share));
    }
    CHECK(fleet.all_show(test.expected));
    REQUIRE(fleet.stored());
    CHECK(fleet.stored()->phase == test.expected);
}

// Guards against lost capacity that is not restored after a target lost its loaded version.
TEST_CASE("the leader orders a load for a lost replica") {
    fleet_simulation fleet(9);
    fleet.start(milliseconds{600'000});
    fleet.exchange.store.put("config/current", "base");
    fleet.run(milliseconds{5'000});
    for (auto& [name, agent] : fleet.agents) {
        CHECK(agent.loaded.size() >= 1);
    }
    fleet.agents.at("a2").loaded.clear();
    fleet.run(milliseconds{5'000});
    REQUIRE(fleet.agents.at("a2").loaded.size() == 1);
    CHECK(fleet.agents.at("a2").loaded[0].version == "v1");
    CHECK(fleet.agents.at("a2").highest > 0);
}

} // namespace

} // namespace lovage
