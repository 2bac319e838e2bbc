#include "scenario_file.h"

#include "scenario_run.h"

#include "../../src/adapters/base/toml_parser.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace lovage::scenarios {

namespace {

// The simulation addresses replies to a node by name only. After this time, those to the calls of a crashed
// process have been dropped, so a restarted process does not receive them.
constexpr milliseconds k_shortest_crash{1'000};

// Reads the keys of one TOML table; stores the first error in `first_error`.
class table_reader {
public:
    table_reader(const toml::table& table, std::string table_name, std::string& first_error)
        : m_table(&table), m_table_name(std::move(table_name)), m_first_error(&first_error) {}

    template <class Value>
    Value get(const char* key, Value fallback) {
        m_known_keys.insert(key);
        const auto node = (*m_table)[key];
        if (!node) {
            return fallback;
        }
        const auto value = node.value<Value>();
        if (!value) {
            report(std::string("wrong type of ") + key);
        }
        return value.value_or(fallback);
    }

    milliseconds get_ms(const char* key, milliseconds fallback) {
        const auto value = get<std::int64_t>(key, fallback.count());
        if (value < 0) {
            report(std::string(key) + " must not be negative");
        }
        return milliseconds{value};
    }

    template <class Enum, std::size_t Count>
    Enum get_name(const char* key, const enum_names<Count>& names, Enum fallback) {
        const auto name = get<std::string>(key, std::string(name_of(names, fallback)));
        const auto value = value_of<Enum>(names, name);
        if (!value) {
            report(std::string("unknown ") + key + " \"" + name + "\"");
        }
        return value.value_or(fallback);
    }

    std::vector<std::string> get_list(const char* key) {
        m_known_keys.insert(key);
        std::vector<std::string> list;
        if (const auto* array = (*m_table)[key].as_array()) {
            for (const auto& item : *array) {
                list.push_back(item.value_or<std::string>(""));
            }
        }
        return list;
    }

    std::vector<const toml::table*> get_tables(const char* key) {
        m_known_keys.insert(key);
        std::vector<const toml::table*> tables;
        if (const auto* array = (*m_table)[key].as_array()) {
            for (const auto& item : *array) {
                if (const auto* table = item.as_table()) {
                    tables.push_back(table);
                } else {
                    report(std::string(key) + " is not a list of tables");
                }
            }
        }
        return tables;
    }

    void require(bool condition, const std::string& reason) {
        if (!condition) {
            report(reason);
        }
    }

    void finish() {
        for (const auto& [key, value] : *m_table) {
            if (m_known_keys.count(std::string(key.str())) == 0) {
                report("unknown key " + std::string(key.str()));
            }
        }
    }

private:
    void report(const std::string& reason) {
        if (m_first_error->empty()) {
            *m_first_error = m_table_name + ": " + reason;
        }
    }

    const toml::table* m_table;
    std::string m_table_name;
    std::string* m_first_error;
    std::set<std::string> m_known_keys;
};

scenario_actor read_actor(table_reader reader) {
    scenario_actor actor;
    actor.name = reader.get<std::string>("name", "");
    actor.role = reader.get_name("role", k_node_role_names, actor.role);
    actor.zone = reader.get<std::string>("zone", "ua-a");
    actor.version = reader.get<std::string>("version", actor.version);
    reader.require(!actor.name.empty(), "an actor has no name");
    reader.finish();
    return actor;
}

scenario_event read_event(table_reader reader, world_kind world) {
    scenario_event event;
    event.at = reader.get_ms("at_ms", event.at);
    event.kind = reader.get_name("kind", k_event_kind_names, event.kind);
    event.actor = reader.get<std::string>("actor", "");
    event.peer = reader.get<std::string>("peer", "");
    event.duration = reader.get_ms("for_ms", event.duration);
    event.value = reader.get<double>("value", 0.0);
    event.text = reader.get<std::string>("text", "");
    reader.require(has_event(world, event.kind),
                   std::string(name_of(k_event_kind_names, event.kind)) + " is not an event of this world");
    reader.require(event.kind != event_kind::crash || event.duration == milliseconds{0} ||
                       event.duration >= k_shortest_crash,
                   "a crash must last at least 1000 ms");
    reader.finish();
    return event;
}

end_check read_end(table_reader reader, const toml::table& table) {
    end_check check;
    check.fact = reader.get<std::string>("fact", "");
    int found = 0;
    for (std::size_t i = 0; i < k_comparison_count; ++i) {
        const std::string key(k_comparison_names[i]);
        const double value = reader.get<double>(key.c_str(), 0.0);
        if (table.contains(key)) {
            ++found;
            check.relation = static_cast<comparison>(i);
            check.value = value;
        }
    }
    reader.require(found == 1, "an end check needs exactly one comparison");
    reader.finish();
    return check;
}

bool has_actor(const scenario& scenario_spec, const std::string& name) {
    return name.empty() || name == "store" ||
           std::any_of(
               scenario_spec.actors.begin(), scenario_spec.actors.end(),
               [&name](const scenario_actor& actor) { return actor.name == name || actor.zone == name; });
}

scenario read_scenario(const toml::table& table, std::string& first_error) {
    table_reader reader(table, "scenario", first_error);
    scenario read;
    read.name = reader.get<std::string>("name", "");
    read.world = reader.get_name("world", k_world_kind_names, read.world);
    read.covers = reader.get_list("covers");
    read.seed = static_cast<std::uint64_t>(reader.get<std::int64_t>("seed", 1));
    read.duration = reader.get_ms("duration_ms", read.duration);
    read.tokens = static_cast<std::uint32_t>(reader.get<std::int64_t>("tokens", read.tokens));
    read.requests = static_cast<std::uint32_t>(reader.get<std::int64_t>("requests", read.requests));
    for (const auto* actor : reader.get_tables("actor")) {
        read.actors.push_back(read_actor({*actor, "actor", first_error}));
    }
    for (const auto* event : reader.get_tables("event")) {
        read.events.push_back(read_event({*event, "event", first_error}, read.world));
        const scenario_event& last = read.events.back();
        reader.require(last.at <= read.duration, "an event is after the end");
        reader.require(has_actor(read, last.actor) &&
                           (last.kind == event_kind::bad_version || has_actor(read, last.peer)),
                       "an event names an unknown actor: " + last.actor + " " + last.peer);
    }
    for (const auto& name : reader.get_list("always")) {
        const auto what = value_of<invariant>(k_invariant_names, name);
        reader.require(what.has_value(), "unknown invariant " + name);
        read.always.push_back(what.value_or(invariant::no_token_missing));
    }
    for (const auto* check : reader.get_tables("end")) {
        read.end.push_back(read_end({*check, "end", first_error}, *check));
    }
    reader.require(!read.name.empty() && !read.covers.empty(), "name and covers are required");
    reader.require(!read.actors.empty(), "at least one actor is required");
    reader.require(!read.always.empty(), "a scenario needs at least one invariant");
    reader.finish();
    return read;
}

} // namespace

result<scenario> parse_scenario(const std::string& text, const std::string& file_name) {
    toml::table table;
    try {
        table = toml::parse(text, file_name);
    } catch (const toml::parse_error& failure) {
        return fail(error_kind::invalid_configuration, file_name + ": " + std::string(failure.description()));
    }
    std::string first_error;
    scenario read = read_scenario(table, first_error);
    if (!first_error.empty()) {
        return fail(error_kind::invalid_configuration, file_name + ": " + first_error);
    }
    return read;
}

std::vector<std::string> scenario_files() {
    std::vector<std::string> files;
    const std::string folder = std::string(LOVAGE_SOURCE_DIR) + "/tests/scenarios/cases";
    for (const auto& item : std::filesystem::directory_iterator(folder)) {
        if (item.path().extension() == ".toml") {
            files.push_back(item.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

result<scenario> load_scenario(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return fail(error_kind::invalid_configuration, "cannot read " + path);
    }
    return parse_scenario(text.str(), path);
}

std::string describe(const scenario& scenario_spec) {
    std::ostringstream out;
    out << "world " << name_of(k_world_kind_names, scenario_spec.world) << ", seed " << scenario_spec.seed
        << '\n';
    for (const auto& event : scenario_spec.events) {
        out << "[[event]] at_ms = " << event.at.count() << ", kind = \""
            << name_of(k_event_kind_names, event.kind) << "\", actor = \"" << event.actor << "\", peer = \""
            << event.peer << "\", for_ms = " << event.duration.count() << ", value = " << event.value
            << ", text = \"" << event.text << "\"\n";
    }
    return out.str();
}

} // namespace lovage::scenarios
