#include "lovage/core/spec_check.h"

#include <algorithm>
#include <cmath>

namespace lovage {

namespace {

template <class Entry>
const Entry* find_by_name(const std::vector<Entry>& entries, const std::string& name) {
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&name](const Entry& entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

result<void> check_spec(const fleet_config& config, generation_spec& spec) {
    if (spec.organisation.empty()) {
        return fail(error_kind::unknown_organisation, "the request names no organisation");
    }
    if (!config.organisations.empty() && find_by_name(config.organisations, spec.organisation) == nullptr) {
        return fail(error_kind::unknown_organisation, "no organisation " + spec.organisation);
    }
    const service_config* service = find_by_name(config.services, spec.service);
    if (service == nullptr || service->kind != service_kind::generation) {
        return fail(error_kind::unknown_service, "no generation service " + spec.service);
    }
    if (spec.prompt.size() > config.limits.max_prompt_bytes) {
        return fail(error_kind::request_too_large,
                    "the prompt is larger than " + std::to_string(config.limits.max_prompt_bytes) + " bytes");
    }
    if (spec.max_tokens == 0 || spec.max_tokens > config.limits.max_tokens) {
        return fail(error_kind::invalid_request,
                    "max_tokens must be between 1 and " + std::to_string(config.limits.max_tokens));
    }
    if (!std::isfinite(spec.sampling.temperature) || spec.sampling.temperature < 0.0) {
        return fail(error_kind::invalid_request, "temperature must be a number of at least 0");
    }
    spec.model = service->model;
    return {};
}

} // namespace lovage
