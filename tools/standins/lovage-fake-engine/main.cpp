#include "engine.h"
#include "routes.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/http_server.h"
#include "lovage/adapters/settings.h"
#include "standins/stand_in_program.h"

#include <memory>
#include <sstream>

namespace {

using namespace lovage;
using namespace lovage::standins;

// The weight store responds only when the whole transfer is complete, so the timeout must cover large models.
constexpr milliseconds k_weight_timeout{600'000};

struct settings {
    std::string address;
    std::string platform;
    std::uint32_t max_connections = 0;
    engine_options engine;
    engine_faults faults;
};

// Parses "MODEL/VERSION" or "MODEL/VERSION/ADAPTER".
loaded_version read_version(settings_reader& reader, const std::string& text) {
    std::istringstream parts(text);
    loaded_version version;
    std::getline(parts, version.model, '/');
    std::getline(parts, version.version, '/');
    std::getline(parts, version.adapter, '/');
    if (version.model.empty() || version.version.empty()) {
        reader.problem("loaded", "texts of the form MODEL/VERSION or MODEL/VERSION/ADAPTER");
    }
    return version;
}

std::chrono::microseconds read_us(settings_reader& reader, const std::string& key,
                                  std::chrono::microseconds fallback) {
    return std::chrono::microseconds(reader.integer(key, fallback.count(), 0, 60'000'000));
}

result<void> configure(settings_reader& reader, settings& target) {
    constexpr milliseconds longest{600'000};
    constexpr milliseconds none{0};
    engine_options& engine = target.engine;
    target.address = reader.required_address("address");
    target.platform = reader.address("platform", "");
    target.max_connections = static_cast<std::uint32_t>(reader.integer("max_connections", 2'000, 1, 100'000));
    engine.target = reader.text("name", "engine");
    engine.role = reader.text("role", engine.role);
    engine.slots = static_cast<std::uint32_t>(reader.integer("slots", engine.slots, 1, 10'000));
    engine.queue_limit =
        static_cast<std::uint32_t>(reader.integer("queue_limit", engine.queue_limit, 1, 100'000));
    engine.step_base = read_us(reader, "step_base_us", engine.step_base);
    engine.step_per_sequence = read_us(reader, "step_per_sequence_us", engine.step_per_sequence);
    engine.prefill_per_token = read_us(reader, "prefill_us_per_token", engine.prefill_per_token);
    engine.prefill_tokens_per_step = static_cast<std::uint32_t>(
        reader.integer("prefill_tokens_per_step", engine.prefill_tokens_per_step, 1, 1'000'000));
    engine.cache_blocks = static_cast<std::size_t>(
        reader.integer("cache_blocks", static_cast<std::int64_t>(engine.cache_blocks), 0, 10'000'000));
    engine.ping_interval = reader.duration_ms("ping_ms", engine.ping_interval, milliseconds{10}, longest);
    engine.load_lag = reader.duration_ms("load_lag_ms", engine.load_lag, none, longest);
    engine.cache_event_lag = reader.duration_ms("cache_event_lag_ms", engine.cache_event_lag, none, longest);
    engine.cache_event_gap = reader.number("cache_event_gap", engine.cache_event_gap, 0.0, 1.0);
    engine.checks_fencing = reader.flag("checks_fencing", engine.checks_fencing);
    engine.load_time = reader.duration_ms("load_ms", engine.load_time, none, longest);
    engine.random_seed = static_cast<std::uint64_t>(
        reader.integer("random_seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
    for (const auto& text : reader.texts("loaded")) {
        engine.loaded.push_back(read_version(reader, text));
    }
    target.faults = read_faults(reader);
    return {};
}

bool fetch_weights(const settings& settings, const loaded_version& version) {
    if (settings.platform.empty()) {
        return true;
    }
    http_client_request request;
    request.url = "http://" + settings.platform + "/weights/" + version.model + "/" + version.version +
                  "?target=" + settings.engine.target;
    request.timeout = k_weight_timeout;
    const auto answer = http_send(request);
    return answer && answer->status == 200;
}

int run(const settings& settings) {
    auto engine = std::make_shared<fake_engine>(
        settings.engine, settings.faults,
        [&settings](const loaded_version& version) { return fetch_weights(settings, version); });
    http_server_options options;
    options.max_connections = settings.max_connections;
    options.max_body_bytes = k_max_engine_body_bytes;
    return serve_until_stopped(settings.address, options, engine_routes(engine),
                               [&engine] { engine->stop(); });
}

} // namespace

int main(int argc, const char** argv) {
    return lovage::standins::run_stand_in(argc, argv, "lovage-fake-engine",
                                          "Test stand-in that simulates a model engine", configure, run);
}
