#include "lovage/core/config_check.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace lovage {

namespace {

using problems = std::vector<config_problem>;
using index_by_name = std::unordered_map<std::string, std::size_t>;

constexpr std::size_t k_max_zones = 100;
constexpr std::size_t k_max_organisations = 100'000;
constexpr std::size_t k_max_models = 1'000;
constexpr std::size_t k_max_services = 1'000;
constexpr std::size_t k_max_targets = 10'000;
constexpr std::size_t k_max_moves = 1'000;

constexpr std::array<std::string_view, 4> k_writing_methods{"POST", "PUT", "PATCH", "DELETE"};

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= k_max_name_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || c == '.';
           });
}

template <class T>
bool contains(const std::vector<T>& values, const T& value) {
    return std::find(values.begin(), values.end(), value) != values.end();
}

// Returns false for NaN.
bool is_within(double value, double low, double high) {
    return value >= low && value <= high;
}

std::string range_text(std::uint32_t low, std::uint32_t high) {
    return "an integer in " + std::to_string(low) + ".." + std::to_string(high);
}

struct reporter {
    problems& out;
    config_item item;
    std::size_t index;
    const std::string& name;

    void add(std::string key, std::string expected) const {
        out.push_back({item, index, name, std::move(key), std::move(expected)});
    }
    void check_name(const std::string& key, const std::string& value) const {
        if (!is_name(value)) {
            add(key, "1 to 64 letters, digits, '-', '_' or '.'");
        }
    }
    void check_range(const std::string& key, std::uint32_t value, std::uint32_t low,
                     std::uint32_t high) const {
        if (value < low || value > high) {
            add(key, range_text(low, high));
        }
    }
};

// Checks the names, duplicates and number of items of one kind. Returns the index of each item by name.
template <class T>
index_by_name check_names(problems& out, config_item item, const std::vector<T>& items, std::string T::*name,
                          const std::string& key, std::size_t limit) {
    index_by_name known;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string& item_name = items[i].*name;
        const reporter report{out, item, i, item_name};
        report.check_name(key, item_name);
        if (!known.emplace(item_name, i).second) {
            report.add(key, "a name that no other " + std::string(name_of(k_config_item_names, item)) +
                                " has; \"" + item_name + "\" is used twice");
        }
        if (i == limit) {
            report.add("", "at most " + std::to_string(limit) + " items of this kind");
        }
    }
    return known;
}

void check_zones(problems& out, const fleet_config& config) {
    for (std::size_t i = 0; i < config.zones.size(); ++i) {
        const auto& zone = config.zones[i];
        reporter{out, config_item::zone, i, zone.name}.check_name("region", zone.region);
    }
}

void check_organisations(problems& out, const fleet_config& config) {
    for (std::size_t i = 0; i < config.organisations.size(); ++i) {
        const auto& organisation = config.organisations[i];
        const reporter report{out, config_item::organisation, i, organisation.name};
        report.check_name("class", organisation.organisation_class);
        if (!is_within(organisation.share, k_min_share, k_max_share)) {
            report.add("share", "a number in 0.001..1000");
        }
    }
}

void check_models(problems& out, const fleet_config& config) {
    for (std::size_t i = 0; i < config.models.size(); ++i) {
        const auto& model = config.models[i];
        const reporter report{out, config_item::model, i, model.name};
        report.check_name("version", model.version);
        report.check_range("replicas", model.replicas, 1, k_max_replicas);
    }
}

void check_calls(const reporter& report, const service_config& service) {
    if (service.kind != service_kind::plain && !service.non_repeatable.empty()) {
        report.add("non_repeatable", "no such key for a generation service");
    }
    for (const auto& call : service.non_repeatable) {
        const bool known_method = std::find(k_writing_methods.begin(), k_writing_methods.end(),
                                            call.method) != k_writing_methods.end();
        if (!known_method || call.path_prefix.empty() || call.path_prefix.front() != '/') {
            report.add("non_repeatable", "\"METHOD /PATH\" with POST, PUT, PATCH or DELETE");
        }
    }
}

void check_requirements(const reporter& report, const service_config& service, const fleet_config& config,
                        const index_by_name& models) {
    for (std::size_t i = 0; i < service.required_versions.size(); ++i) {
        const auto& required = service.required_versions[i];
        const std::string key = "requires[" + std::to_string(i) + "]";
        const auto model = models.find(required.model);
        if (model == models.end()) {
            report.add(key + ".model", "the name of a model; there is no model \"" + required.model + "\"");
        } else if (!contains(required.versions, config.models[model->second].version)) {
            report.add(key + ".versions", "the serving version \"" + config.models[model->second].version +
                                              "\" of model \"" + required.model + "\" among them");
        }
    }
}

void check_services(problems& out, const fleet_config& config, const index_by_name& models,
                    const index_by_name& services) {
    for (std::size_t i = 0; i < config.services.size(); ++i) {
        const auto& service = config.services[i];
        const reporter report{out, config_item::service, i, service.name};
        if (service.kind == service_kind::plain && !service.model.empty()) {
            report.add("model", "no such key for a plain service");
        }
        if (service.kind == service_kind::generation && models.count(service.model) == 0) {
            report.add("model", "the name of a model; " +
                                    (service.model.empty() ? std::string("the key is missing")
                                                           : "there is no model \"" + service.model + "\""));
        }
        std::unordered_set<std::string> seen;
        for (const auto& dependency : service.depends_on) {
            if (services.count(dependency) == 0) {
                report.add("depends_on", "names of services; there is no service \"" + dependency + "\"");
            } else if (!seen.insert(dependency).second) {
                report.add("depends_on", "each service once; \"" + dependency + "\" is named twice");
            }
        }
        check_calls(report, service);
        check_requirements(report, service, config, models);
        report.check_range("objective.first_token_ms", service.objective.first_token_ms, 1,
                           k_max_objective_ms);
        report.check_range("objective.token_gap_ms", service.objective.token_gap_ms, 1, k_max_objective_ms);
        if (!is_within(service.objective.honoured, 0.0, 1.0)) {
            report.add("objective.honoured", "a number in 0..1");
        }
    }
}

// Returns, for each service, those of its dependencies that are on a dependency cycle or depend on one. Uses
// a topological sort: services whose dependencies are all resolved are removed repeatedly, and what remains
// is on a cycle or depends on one.
std::vector<std::vector<std::size_t>> unresolved_dependencies(const fleet_config& config,
                                                              const index_by_name& services) {
    const std::size_t count = config.services.size();
    std::vector<std::vector<std::size_t>> dependencies(count);
    std::vector<std::vector<std::size_t>> dependants(count);
    std::vector<std::size_t> unresolved_count(count, 0);
    for (std::size_t i = 0; i < count; ++i) {
        for (const auto& name : config.services[i].depends_on) {
            const auto found = services.find(name);
            if (found != services.end()) {
                dependencies[i].push_back(found->second);
                dependants[found->second].push_back(i);
                ++unresolved_count[i];
            }
        }
    }
    std::vector<std::size_t> resolved;
    for (std::size_t i = 0; i < count; ++i) {
        if (unresolved_count[i] == 0) {
            resolved.push_back(i);
        }
    }
    for (std::size_t next = 0; next < resolved.size(); ++next) {
        for (const std::size_t dependant : dependants[resolved[next]]) {
            if (--unresolved_count[dependant] == 0) {
                resolved.push_back(dependant);
            }
        }
    }
    for (auto& list : dependencies) {
        list.erase(std::remove_if(list.begin(), list.end(),
                                  [&unresolved_count](std::size_t i) { return unresolved_count[i] == 0; }),
                   list.end());
    }
    return dependencies;
}

void check_cycles(problems& out, const fleet_config& config, const index_by_name& services) {
    const auto unresolved = unresolved_dependencies(config, services);
    // 0 if not visited, otherwise 1 + the start index of the traversal that visited the service.
    std::vector<std::size_t> visited(unresolved.size(), 0);
    for (std::size_t start = 0; start < unresolved.size(); ++start) {
        std::vector<std::size_t> traversal;
        std::size_t at = start;
        while (visited[at] == 0 && !unresolved[at].empty()) {
            visited[at] = start + 1;
            traversal.push_back(at);
            at = unresolved[at].front();
        }
        if (traversal.empty() || visited[at] != start + 1) {
            continue;
        }
        std::string path = config.services[at].name;
        for (auto step = std::find(traversal.begin(), traversal.end(), at) + 1; step != traversal.end();
             ++step) {
            path += " -> " + config.services[*step].name;
        }
        out.push_back({config_item::service, at, config.services[at].name, "depends_on",
                       "no cycle; found " + path + " -> " + config.services[at].name});
    }
}

void check_dependants(const reporter& report, const move_config& move, const fleet_config& config) {
    for (const auto& service : config.services) {
        for (const auto& required : service.required_versions) {
            if (required.model == move.model && !contains(required.versions, move.to)) {
                report.add("to", "a version that service \"" + service.name +
                                     "\" works with; it requires model \"" + move.model +
                                     "\" in other versions than \"" + move.to + "\"");
            }
        }
    }
}

void check_moves(problems& out, const fleet_config& config, const index_by_name& models) {
    index_by_name moved;
    for (std::size_t i = 0; i < config.moves.size(); ++i) {
        const auto& move = config.moves[i];
        const reporter report{out, config_item::move, i, move.id};
        report.check_name("from", move.from);
        report.check_name("to", move.to);
        if (move.from == move.to) {
            report.add("to", "another version than \"from\"");
        }
        const auto model = models.find(move.model);
        if (model == models.end()) {
            report.add("model", "the name of a model; there is no model \"" + move.model + "\"");
        } else if (const auto& serving = config.models[model->second].version;
                   serving != move.from && serving != move.to) {
            report.add("from", "the serving version \"" + serving + "\" of model \"" + move.model +
                                   "\" as \"from\", or as \"to\" once the move has landed");
        }
        const auto [first, is_first] = moved.emplace(move.model, i);
        if (!is_first) {
            report.add("model", "one move of a model at a time; move \"" + config.moves[first->second].id +
                                    "\" is for model \"" + move.model + "\" too");
        }
        check_dependants(report, move, config);
    }
}

void check_limits(problems& out, const limits_config& limits) {
    const std::string name = "limits";
    const reporter report{out, config_item::limits, 0, name};
    report.check_range("max_prompt_bytes", limits.max_prompt_bytes, 1, k_max_prompt_bytes);
    report.check_range("max_tokens", limits.max_tokens, 1, k_max_tokens);
    report.check_range("max_queued_per_entry", limits.max_queued_per_entry, 1, k_max_queued);
    if (!is_within(limits.retry_budget, 0.0, 1.0)) {
        report.add("retry_budget", "a number in 0..1");
    }
}

bool is_same(const move_config& a, const move_config& b) {
    return a.id == b.id && a.model == b.model && a.from == b.from && a.to == b.to &&
           a.strategy == b.strategy && a.deadline == b.deadline;
}

} // namespace

std::vector<config_problem> check_config(const fleet_config& config) {
    problems out;
    check_names(out, config_item::zone, config.zones, &zone_config::name, "name", k_max_zones);
    check_names(out, config_item::organisation, config.organisations, &organisation_config::name, "name",
                k_max_organisations);
    const auto models =
        check_names(out, config_item::model, config.models, &model_config::name, "name", k_max_models);
    const auto services = check_names(out, config_item::service, config.services, &service_config::name,
                                      "name", k_max_services);
    check_names(out, config_item::target, config.targets, &target_config::name, "name", k_max_targets);
    check_names(out, config_item::move, config.moves, &move_config::id, "id", k_max_moves);
    check_zones(out, config);
    check_organisations(out, config);
    check_models(out, config);
    check_services(out, config, models, services);
    check_cycles(out, config, services);
    check_moves(out, config, models);
    check_limits(out, config.limits);
    return out;
}

std::vector<config_problem> check_edit(const fleet_config& next, const fleet_config* current, wall_time now) {
    problems out;
    for (std::size_t i = 0; i < next.moves.size(); ++i) {
        const auto& move = next.moves[i];
        const bool is_known = current != nullptr &&
                              std::any_of(current->moves.begin(), current->moves.end(),
                                          [&move](const move_config& other) { return is_same(move, other); });
        if (is_known) {
            continue;
        }
        const reporter report{out, config_item::move, i, move.id};
        if (move.deadline <= now) {
            report.add("deadline", "a time in the future for a new or changed move");
        }
        const auto model =
            std::find_if(next.models.begin(), next.models.end(),
                         [&move](const model_config& known) { return known.name == move.model; });
        if (model != next.models.end() && model->version == move.to) {
            report.add("from", "the serving version \"" + model->version + "\" for a new or changed move");
        }
    }
    return out;
}

} // namespace lovage
