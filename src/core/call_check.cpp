#include "lovage/core/call_check.h"

#include <algorithm>
#include <string_view>

namespace lovage {

namespace {

// A service may resolve empty, "." and ".." segments to a different path, so that such a path would bypass
// the list of non-repeatable calls.
bool is_normalized_path(std::string_view path) {
    if (path.empty() || path.front() != '/') {
        return false;
    }
    path.remove_prefix(1);
    while (!path.empty()) {
        const auto segment = path.substr(0, path.find('/'));
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        path.remove_prefix(std::min(path.size(), segment.size() + 1));
    }
    return true;
}

} // namespace

bool is_repeatable_call(const service_config& service, const std::string& method, const std::string& path) {
    return std::none_of(service.non_repeatable.begin(), service.non_repeatable.end(),
                        [&](const non_repeatable_call& listed) {
                            return listed.method == method &&
                                   path.compare(0, listed.path_prefix.size(), listed.path_prefix) == 0;
                        });
}

result<void> check_call(const fleet_config& config, const std::string& decoded_path, call_message& call) {
    const auto& organisations = config.organisations;
    const bool is_known = organisations.empty() || std::any_of(organisations.begin(), organisations.end(),
                                                               [&](const organisation_config& entry) {
                                                                   return entry.name == call.organisation;
                                                               });
    if (call.organisation.empty() || !is_known) {
        return fail(error_kind::unknown_organisation, "no organisation " + call.organisation);
    }
    const auto service =
        std::find_if(config.services.begin(), config.services.end(),
                     [&](const service_config& entry) { return entry.name == call.service; });
    if (service == config.services.end() || service->kind != service_kind::plain) {
        return fail(error_kind::unknown_service, "no plain service " + call.service);
    }
    if (!is_normalized_path(decoded_path)) {
        return fail(error_kind::invalid_request, "the path must have no empty, \".\" or \"..\" segment");
    }
    call.repeatable = is_repeatable_call(*service, call.method, decoded_path);
    return {};
}

} // namespace lovage
