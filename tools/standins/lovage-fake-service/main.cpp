#include "service.h"

#include "lovage/adapters/http_server.h"
#include "lovage/adapters/log.h"
#include "lovage/adapters/program.h"
#include "lovage/adapters/settings.h"
#include "standins/fake_calls.h"
#include "standins/json_http.h"
#include "standins/setting_names.h"
#include "standins/stand_in_program.h"

#include <csignal>
#include <limits>
#include <memory>

namespace {

using namespace lovage;
using namespace lovage::standins;
using nlohmann::json;

struct settings {
    std::string address;
    service_options service;
    service_faults faults;
};

result<void> configure(settings_reader& reader, settings& target) {
    constexpr milliseconds longest{600'000};
    constexpr milliseconds none{0};
    constexpr auto any = std::numeric_limits<std::int64_t>::max();
    service_options& service = target.service;
    target.address = reader.required_address("address");
    service.lookup_delay = reader.duration_ms("lookup_delay_ms", service.lookup_delay, none, longest);
    service.listing_delay = reader.duration_ms("listing_delay_ms", service.listing_delay, none, longest);
    service.lodgement_delay =
        reader.duration_ms("lodgement_delay_ms", service.lodgement_delay, none, longest);
    service.ledger_path = reader.text("ledger_file", "");
    service.random_seed = static_cast<std::uint64_t>(reader.integer("random_seed", 1, 0, any));
    service_faults& faults = target.faults;
    faults.kind = read_enum_setting<call_fault>(reader, "faults.kind", k_call_fault_names);
    faults.calls = reader.integer("faults.calls", faults.calls, -1, any);
    faults.share = reader.number("faults.share", faults.share, 0.0, 1.0);
    faults.match = reader.text("faults.match", "");
    faults.stall = reader.duration_ms("faults.stall_ms", faults.stall, none, longest);
    return {};
}

// Runs a call. Its effect is the ledger entry, which is written before the delay of the response, so that a
// call whose caller timed out has still run.
http_response run_call(fake_service& service, const http_request& incoming, milliseconds delay,
                       const json& answer) {
    const call_fault fault = service.draw_fault(incoming.method, incoming.path);
    if (fault == call_fault::die_before) {
        std::raise(SIGKILL);
    }
    http_response failed =
        error_response({error_kind::internal, "the call failed because of an injected fault"}, false);
    if (fault == call_fault::error_before) {
        return failed;
    }
    const auto key = incoming.headers.find("idempotency-key");
    service.record({key == incoming.headers.end() ? "" : key->second, incoming.method, incoming.path});
    service.wait(fault == call_fault::stall ? service.faults().stall : delay);
    if (fault == call_fault::die_after) {
        std::raise(SIGKILL);
    }
    if (fault == call_fault::error_after) {
        return failed;
    }
    http_response response = json_response(answer);
    response.close_without_response = fault == call_fault::lose_answer;
    return response;
}

http_response handle_lookup(fake_service& service, const http_request& incoming) {
    return run_call(service, incoming, service.options().lookup_delay,
                    {{"value", fake_lookup_value(incoming.path)}});
}

http_response handle_listing(fake_service& service, const http_request& incoming) {
    return run_call(service, incoming, service.options().listing_delay,
                    {{"receipt", fake_receipt(incoming.path, incoming.body)}});
}

http_response handle_lodgement(fake_service& service, const http_request& incoming) {
    return run_call(service, incoming, service.options().lodgement_delay,
                    {{"receipt", fake_receipt(incoming.path, incoming.body)}});
}

http_response handle_ledger(fake_service& service, const http_request& /*incoming*/) {
    json calls = json::array();
    for (const auto& [call, count] : service.ledger()) {
        calls.push_back({{"key", call.key}, {"method", call.method}, {"path", call.path}, {"count", count}});
    }
    return json_response({{"calls", calls}});
}

http_response handle_health(fake_service& /*service*/, const http_request& /*incoming*/) {
    return json_response({{"ok", true}});
}

http_response handle_faults(fake_service& service, const http_request& incoming) {
    if (incoming.method == "GET") {
        return json_response(to_json(service.faults()));
    }
    const auto changed = service.change_faults(json::parse(incoming.body));
    return changed ? json_response(to_json(*changed)) : invalid_response(changed.error().detail);
}

struct service_endpoint {
    const char* method;
    const char* path;
    http_response (*handler)(fake_service&, const http_request&);
};

constexpr service_endpoint k_endpoints[] = {
    {"GET", "/lookup/*", handle_lookup},         {"POST", "/listings", handle_listing},
    {"POST", "/listings/*", handle_listing},     {"POST", "/lodgements", handle_lodgement},
    {"POST", "/lodgements/*", handle_lodgement}, {"GET", "/ledger", handle_ledger},
    {"GET", "/healthz", handle_health},          {"GET", "/faults", handle_faults},
    {"POST", "/faults", handle_faults},
};

int run(const settings& settings) {
    auto created = fake_service::create(settings.service, settings.faults);
    if (!created) {
        log_event(log_level::error, "cannot start", {{"detail", created.error().detail}});
        return k_exit_settings;
    }
    const std::shared_ptr<fake_service> service(std::move(*created));
    std::vector<http_route> routes;
    for (const auto& endpoint : k_endpoints) {
        routes.push_back({endpoint.method, endpoint.path,
                          with_error_response([service, endpoint](const http_request& incoming) {
                              return endpoint.handler(*service, incoming);
                          })});
    }
    return serve_until_stopped(settings.address, {}, std::move(routes), [&service] { service->stop(); });
}

} // namespace

int main(int argc, const char** argv) {
    return lovage::standins::run_stand_in(argc, argv, "lovage-fake-service",
                                          "Test stand-in for a plain service, that is one without a model",
                                          configure, run);
}
