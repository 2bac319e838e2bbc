#include "request_targets.h"

#include "lovage/core/ids.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovage::load {

namespace {

using nlohmann::json;

request_target generation_target(const load_options& options, const request_plan& plan, bool streams) {
    const json body = {{"service", options.service}, {"prompt", plan.prompt}, {"max_tokens", plan.max_tokens},
                       {"seed", plan.seed},          {"temperature", 0.0},    {"adapter", options.adapter},
                       {"stream", streams}};
    return {"POST", "/v1/generations", body.dump()};
}

request_target stream_target(const load_options& options, const request_plan& plan) {
    return generation_target(options, plan, true);
}

request_target whole_target(const load_options& options, const request_plan& plan) {
    return generation_target(options, plan, false);
}

request_target through_entry(const load_options& options, request_target target) {
    target.path = "/v1/services/" + options.service + target.path;
    return target;
}

request_target lookup_target(const load_options& options, const request_plan& plan) {
    return through_entry(options, direct_lookup_target(options, plan));
}

request_target post_target(const load_options& options, const request_plan& plan) {
    return through_entry(options, direct_post_target(options, plan));
}

request_target engine_target(const load_options& options, const request_plan& plan) {
    const json body = {{"request", plan.key},
                       {"answer", plan.key},
                       {"model", options.model},
                       {"version", options.version},
                       {"adapter", options.adapter},
                       {"prompt", plan.prompt},
                       {"max_tokens", plan.max_tokens},
                       {"seed", plan.seed},
                       {"temperature", 0.0},
                       {"priority", options.priority.empty() ? "standard" : options.priority},
                       {"route", options.service}};
    return {"POST", "/engine/generate", body.dump()};
}

constexpr std::array<mode_traits, k_request_mode_count> k_modes{{
    {stream_target, true, false},
    {whole_target, false, false},
    {lookup_target, false, false},
    {post_target, false, false},
    {engine_target, true, true},
    {direct_lookup_target, false, true},
    {direct_post_target, false, true},
}};

} // namespace

request_target direct_lookup_target(const load_options& /*options*/, const request_plan& plan) {
    return {"GET", "/lookup/" + plan.key, ""};
}

request_target direct_post_target(const load_options& options, const request_plan& plan) {
    return {"POST", "/" + options.path, json({{"key", plan.key}, {"text", plan.prompt}}).dump()};
}

const mode_traits& mode_traits_of(const load_options& options) {
    return k_modes.at(static_cast<std::size_t>(options.mode));
}

std::string request_id_of(const request_plan& plan) {
    return request_id::from_key(plan.organisation, plan.key).to_string();
}

} // namespace lovage::load
