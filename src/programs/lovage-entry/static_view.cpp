#include "static_view.h"

#include "lovage/adapters/config_text.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace lovage {

namespace {

std::vector<std::string> split_words(const std::string& text) {
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

result<member_info> read_member(const std::string& text) {
    const auto words = split_words(text);
    if (words.size() != 6) {
        return fail(error_kind::invalid_settings, "static_members: expected \"node role zone region "
                                                  "peer_address http_address\", not \"" +
                                                      text + "\"");
    }
    const auto role = value_of<node_role>(k_node_role_names, words[1]);
    if (!role || !parse_endpoint(words[4]) || !parse_endpoint(words[5])) {
        return fail(error_kind::invalid_settings,
                    "static_members: no such role or address in \"" + text + "\"");
    }
    member_info member;
    member.node = words[0];
    member.role = *role;
    member.zone = words[2];
    member.region = words[3];
    member.peer_address = words[4];
    member.http_address = words[5];
    return member;
}

result<fleet_config> read_services(const std::vector<std::string>& services) {
    fleet_config config;
    config.revision = 1;
    for (const auto& text : services) {
        const auto words = split_words(text);
        if (words.size() != 3) {
            return fail(error_kind::invalid_settings,
                        "static_services: expected \"name model version\", not \"" + text + "\"");
        }
        service_config service;
        service.name = words[0];
        service.model = words[1];
        config.services.push_back(service);
        model_config model;
        model.name = words[1];
        model.version = words[2];
        config.models.push_back(model);
    }
    return config;
}

result<fleet_config> read_config(const entry_settings& settings) {
    if (settings.static_config.empty()) {
        return read_services(settings.static_services);
    }
    std::ifstream file(settings.static_config, std::ios::binary);
    if (!file) {
        return fail(error_kind::invalid_settings, "static_config: cannot read " + settings.static_config);
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    auto config = parse_config_text(text, settings.static_config);
    if (config) {
        config->revision = 1;
    }
    return config;
}

} // namespace

result<fleet_view> make_static_view(const entry_settings& settings, time_point now) {
    fleet_view view;
    view.sequence = 1;
    member_info self;
    self.node = settings.node;
    self.zone = settings.zone;
    self.region = settings.region;
    self.peer_address = settings.peer_address;
    self.http_address = settings.http_address;
    // Answers of this entry's previous incarnation may still be running.
    self.state_since = now;
    view.members.push_back(std::move(self));
    for (const auto& text : settings.static_members) {
        auto member = read_member(text);
        if (!member) {
            return tl::unexpected<error>(member.error());
        }
        if (member->node != settings.node) {
            view.members.push_back(std::move(*member));
        }
    }
    auto config = read_config(settings);
    if (!config) {
        return tl::unexpected<error>(config.error());
    }
    view.config = std::make_shared<const fleet_config>(std::move(*config));
    return view;
}

} // namespace lovage
