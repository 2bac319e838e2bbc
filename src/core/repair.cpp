#include "lovage/core/repair.h"

#include "lovage/core/rollout.h"

#include <algorithm>

namespace lovage {

namespace {

bool has_loaded(const load_report_message& report, const version_key& key) {
    return std::any_of(report.loaded.begin(), report.loaded.end(), [&key](const loaded_version& loaded) {
        return loaded.model == key.model && loaded.version == key.version;
    });
}

version_key key_of(const order_message& order) {
    return {order.version.model, order.version.version};
}

bool is_done(const pending_order& pending, const load_report_message& report) {
    const bool loaded = has_loaded(report, key_of(pending.order));
    return pending.order.kind == order_kind::load_version ? loaded : !loaded;
}

void drop_finished_orders(repair_state& state, const std::vector<repair_target>& targets, time_point now) {
    for (const auto& target : targets) {
        const auto pending = state.pending.find(target.agent);
        if (pending != state.pending.end() && is_done(pending->second, target.report)) {
            state.pending.erase(pending);
        }
    }
    for (auto pending = state.pending.begin(); pending != state.pending.end();) {
        pending = now >= pending->second.expires ? state.pending.erase(pending) : std::next(pending);
    }
}

struct shortage {
    version_key key;
    std::uint32_t missing = 0;
    /// Requests in flight per live replica; higher than any other value if there is no replica.
    double load = 0.0;
};

std::vector<shortage> find_shortages(const repair_state& state,
                                     const std::map<version_key, std::uint32_t>& wanted,
                                     const std::vector<repair_target>& targets) {
    std::vector<shortage> shortages;
    for (const auto& [key, count] : wanted) {
        std::uint32_t present = 0;
        std::uint32_t replicas = 0;
        std::uint32_t in_flight = 0;
        for (const auto& target : targets) {
            if (has_loaded(target.report, key)) {
                ++replicas;
                in_flight += target.report.running + target.report.queued;
            }
        }
        present = replicas;
        for (const auto& [agent, pending] : state.pending) {
            if (pending.order.kind == order_kind::load_version && key_of(pending.order).model == key.model &&
                key_of(pending.order).version == key.version) {
                ++present;
            }
        }
        if (present < count) {
            const double load = replicas == 0 ? 1e9 : static_cast<double>(in_flight) / replicas;
            shortages.push_back({key, count - present, load});
        }
    }
    std::stable_sort(shortages.begin(), shortages.end(),
                     [](const shortage& a, const shortage& b) { return a.load > b.load; });
    return shortages;
}

std::size_t count_loads(const repair_state& state) {
    return static_cast<std::size_t>(
        std::count_if(state.pending.begin(), state.pending.end(),
                      [](const auto& item) { return item.second.order.kind == order_kind::load_version; }));
}

// Returns the target that can load the version and has the fewest loaded versions, then the fewest requests;
// null if there is none.
const repair_target* choose_target(const repair_state& state, const std::vector<repair_target>& targets,
                                   const version_key& key) {
    const repair_target* best = nullptr;
    const auto cost = [](const repair_target& target) {
        return std::make_tuple(target.report.loaded.size(), target.report.running + target.report.queued);
    };
    for (const auto& target : targets) {
        const bool is_engine = target.report.services.empty() && target.report.slots > 0;
        const bool can_load = is_engine && target.report.engine_up && !target.report.draining &&
                              state.pending.count(target.agent) == 0 && !has_loaded(target.report, key);
        if (can_load && (best == nullptr || cost(target) < cost(*best))) {
            best = &target;
        }
    }
    return best;
}

void issue_order(repair_state& state, const node_id& agent, order_kind kind, const version_key& key,
                 fencing_number fencing, time_point now,
                 std::vector<std::pair<node_id, order_message>>& orders) {
    order_message order;
    order.order_id = std::to_string(fencing) + "-" + std::to_string(state.next_order++);
    order.fencing = fencing;
    order.kind = kind;
    order.version = {key.model, key.version, {}};
    state.pending[agent] = pending_order{order, now + k_order_timeout};
    orders.emplace_back(agent, std::move(order));
}

void plan_unloads(repair_state& state, const fleet_config& config,
                  const std::map<version_key, std::uint32_t>& wanted,
                  const std::vector<repair_target>& targets, fencing_number fencing, time_point now,
                  std::vector<std::pair<node_id, order_message>>& orders) {
    std::map<version_key, time_point> still_unneeded;
    for (const auto& target : targets) {
        for (const auto& loaded : target.report.loaded) {
            const version_key key{loaded.model, loaded.version};
            const bool is_configured =
                std::any_of(config.models.begin(), config.models.end(),
                            [&key](const model_config& model) { return model.name == key.model; });
            if (!is_configured || wanted.count(key) > 0) {
                continue;
            }
            const auto known = state.unneeded_since.find(key);
            const time_point since = known == state.unneeded_since.end() ? now : known->second;
            still_unneeded[key] = since;
            if (now - since >= k_unload_delay && state.pending.count(target.agent) == 0) {
                issue_order(state, target.agent, order_kind::unload_version, key, fencing, now, orders);
            }
        }
    }
    state.unneeded_since = std::move(still_unneeded);
}

} // namespace

std::uint32_t count_loaded(const std::vector<repair_target>& targets, const std::string& model,
                           const std::string& version) {
    return static_cast<std::uint32_t>(
        std::count_if(targets.begin(), targets.end(), [&](const repair_target& target) {
            return target.report.engine_up && !target.report.draining &&
                   has_loaded(target.report, {model, version});
        }));
}

std::map<version_key, std::uint32_t> wanted_replicas(const fleet_config& config,
                                                     const std::vector<move_record>& moves,
                                                     const std::vector<repair_target>& targets) {
    std::map<version_key, std::uint32_t> wanted;
    for (const auto& model : config.models) {
        std::string serving = model.version;
        for (const auto& record : moves) {
            if (record.model != model.name) {
                continue;
            }
            if (record.phase == move_phase::landed) {
                serving = record.to;
            } else if (!is_final(record.phase)) {
                wanted[{model.name, record.to}] =
                    std::max(model.replicas, count_loaded(targets, model.name, record.from));
            }
        }
        wanted[{model.name, serving}] = model.replicas;
    }
    return wanted;
}

std::vector<std::pair<node_id, order_message>> plan_orders(repair_state& state, const fleet_config& config,
                                                           const std::vector<move_record>& moves,
                                                           const std::vector<repair_target>& targets,
                                                           fencing_number fencing, time_point now) {
    std::vector<std::pair<node_id, order_message>> orders;
    drop_finished_orders(state, targets, now);
    const auto wanted = wanted_replicas(config, moves, targets);
    for (const auto& item : find_shortages(state, wanted, targets)) {
        for (std::uint32_t i = 0; i < item.missing && count_loads(state) < k_max_concurrent_loads; ++i) {
            const repair_target* target = choose_target(state, targets, item.key);
            if (target == nullptr) {
                break;
            }
            issue_order(state, target->agent, order_kind::load_version, item.key, fencing, now, orders);
        }
    }
    plan_unloads(state, config, wanted, targets, fencing, now, orders);
    return orders;
}

void record_order_result(repair_state& state, const node_id& agent, const order_result_message& result,
                         time_point now) {
    const auto pending = state.pending.find(agent);
    if (pending != state.pending.end() && pending->second.order.order_id == result.order_id && !result.ok) {
        pending->second.expires = now + k_order_retry_delay;
    }
}

} // namespace lovage
