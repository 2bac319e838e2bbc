#include "lovage/adapters/engine_http.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/poller.h"
#include "lovage/adapters/settings.h"
#include "lovage/adapters/sse_parser.h"
#include "lovage/control/event_queue.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>

namespace lovage {

namespace {

using json = nlohmann::json;

// Maximum duration of a stream, which ends the reader threads of connections that never close.
constexpr milliseconds k_max_stream_duration{3'600'000};
constexpr milliseconds k_cancel_poll_interval{100};
constexpr milliseconds k_order_timeout{30'000};
constexpr milliseconds k_short_timeout{1'000};
constexpr milliseconds k_close_timeout{2'000};
// Maximum age of a load report. It is longer than the timeout after which the load endpoint counts as
// unresponsive, since an old report is better for routing than none.
constexpr milliseconds k_max_load_age{1'500};
// Maximum number of events that are queued for the generation's thread; at this number the reader stops
// reading.
constexpr std::size_t k_max_queued_events = 1'024;
constexpr std::size_t k_max_queued_cancels = 1'024;

// State shared by the reader thread of one stream and the thread of its generation.
struct stream_channel {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<sse_event> events;
    bool is_abandoned = false;
    /// Set when the reader has ended.
    std::optional<result<http_client_response>> outcome;
};

std::string dump(const json& document) {
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json identify(const attempt_ref& ref) {
    return {
        {"request", ref.request.to_string()}, {"answer", ref.answer.to_string()}, {"attempt", ref.attempt}};
}

json generate_body(const attempt_ref& ref, const generation_spec& spec, const std::vector<token>& accepted) {
    json body = identify(ref);
    body["model"] = spec.model;
    body["version"] = spec.model_version;
    body["adapter"] = spec.adapter;
    body["prompt"] = spec.prompt;
    body["accepted"] = accepted;
    body["max_tokens"] = spec.max_tokens;
    body["seed"] = spec.sampling.seed;
    body["temperature"] = spec.sampling.temperature;
    body["priority"] = name_of(k_priority_names, spec.priority);
    body["route"] = spec.service;
    return body;
}

result<engine_load> parse_load(const std::string& text) {
    try {
        const json document = json::parse(text);
        engine_load load;
        load.slots = document.at("slots").get<std::uint32_t>();
        load.running = document.at("running").get<std::uint32_t>();
        load.queued = document.at("queued").get<std::uint32_t>();
        load.age_ms = document.value("age_ms", 0U);
        for (const auto& item : document.at("loaded")) {
            load.loaded.push_back({item.at("model").get<std::string>(), item.at("version").get<std::string>(),
                                   item.value("adapter", std::string())});
        }
        return load;
    } catch (const json::exception& problem) {
        return fail(error_kind::protocol_error, std::string("the engine's load: ") + problem.what());
    }
}

struct token_event {
    token_index index = 0;
    std::string text;
};

result<token_event> parse_token(const std::string& data) {
    try {
        const json document = json::parse(data);
        return token_event{document.at("index").get<token_index>(), document.at("text").get<std::string>()};
    } catch (const json::exception& problem) {
        return fail(error_kind::target_failed, std::string("a token of the engine: ") + problem.what());
    }
}

result<engine_finish> parse_done(const std::string& data) {
    try {
        const json document = json::parse(data);
        const auto reason =
            value_of<finish_reason>(k_finish_reason_names, document.at("reason").get<std::string>());
        if (!reason) {
            return fail(error_kind::target_failed, "the engine's done event has an unknown reason");
        }
        return engine_finish{document.at("total").get<token_index>(), *reason};
    } catch (const json::exception& problem) {
        return fail(error_kind::target_failed, std::string("the engine's done event: ") + problem.what());
    }
}

// Returns the error for a stream that ended without a done event.
error broken_stream(const result<http_client_response>& outcome) {
    if (!outcome) {
        return {error_kind::target_failed, outcome.error().detail};
    }
    switch (outcome->status) {
    case 429:
        return {error_kind::target_busy, "the engine's queue is full"};
    case 404:
        return {error_kind::no_target, "the engine does not have the version"};
    case 200:
        return {error_kind::target_failed, "the engine ended the stream without its done event"};
    default:
        return {error_kind::target_failed, "the engine answered " + std::to_string(outcome->status)};
    }
}

} // namespace

struct engine_http::state : public std::enable_shared_from_this<engine_http::state> {
    state(const engine_http_options& chosen, metrics& target)
        : options(chosen), counters(target), cancels(k_max_queued_cancels) {}

    const engine_http_options options;
    metrics& counters;

    std::mutex mutex;
    std::condition_variable reader_ended;
    std::uint32_t readers = 0;
    std::uint32_t abandoned = 0;
    std::optional<engine_load> last_load;
    time_point last_load_at{};

    event_queue<attempt_ref> cancels;
    std::thread canceller;
    std::unique_ptr<poller> load_poller;

    std::string url(const std::string& path) const { return "http://" + options.address + path; }
    result<http_client_response> post(const std::string& path, const json& body, milliseconds timeout) const;

    void poll_load();
    result<engine_load> load();
    time_point::duration load_age();
    void run_cancels();
    result<void> cancel(const attempt_ref& ref);
    result<void> order(const order_message& order);

    std::shared_ptr<stream_channel> open_stream(std::string body);
    void read_stream(const std::string& body, const std::shared_ptr<stream_channel>& channel);
    void abandon(const std::shared_ptr<stream_channel>& channel);
    result<engine_finish> generate(const attempt_ref& ref, const generation_spec& spec,
                                   const std::vector<token>& accepted, const engine_stream& stream);
    result<engine_finish> forward_events(stream_channel& channel, token_index next,
                                         const engine_stream& stream);
};

result<http_client_response> engine_http::state::post(const std::string& path, const json& body,
                                                      milliseconds timeout) const {
    http_client_request request;
    request.method = "POST";
    request.url = url(path);
    request.headers["Content-Type"] = "application/json";
    request.body = dump(body);
    request.timeout = timeout;
    return http_send(request);
}

void engine_http::state::poll_load() {
    http_client_request request;
    request.url = url("/engine/load");
    request.timeout = k_short_timeout;
    const auto response = http_send(request);
    if (!response || response->status != 200) {
        counters.count("engine_load_failures_total");
        return;
    }
    auto parsed = parse_load(response->body);
    const std::lock_guard lock(mutex);
    last_load_at = monotonic_now();
    if (parsed) {
        last_load = std::move(*parsed);
    }
}

time_point::duration engine_http::state::load_age() {
    const std::lock_guard lock(mutex);
    return monotonic_now() - last_load_at;
}

result<engine_load> engine_http::state::load() {
    const std::lock_guard lock(mutex);
    const auto age = monotonic_now() - last_load_at;
    if (!last_load || age > k_max_load_age) {
        return fail(error_kind::target_failed, "the engine does not report its load");
    }
    engine_load load = *last_load;
    load.age_ms += static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count());
    return load;
}

// Queues the cancellation without waiting for it: an engine that does not respond would delay the report of
// its failure.
result<void> engine_http::state::cancel(const attempt_ref& ref) {
    if (!cancels.push(ref)) {
        return fail(error_kind::overloaded, "too many cancellations wait for the engine");
    }
    return {};
}

void engine_http::state::run_cancels() {
    while (!cancels.is_closed()) {
        constexpr milliseconds idle_wait{60'000};
        if (const auto ref = cancels.pop_until(monotonic_now() + idle_wait)) {
            // Errors are ignored: an engine that cannot be reached has no stream to cancel.
            static_cast<void>(post("/engine/cancel", identify(*ref), k_short_timeout));
        }
    }
}

result<void> engine_http::state::order(const order_message& order) {
    const json body{{"order_id", order.order_id},
                    {"fencing", order.fencing},
                    {"kind", name_of(k_order_kind_names, order.kind)},
                    {"model", order.version.model},
                    {"version", order.version.version},
                    {"adapter", order.version.adapter},
                    {"role", order.role}};
    const auto response = post("/engine/orders", body, k_order_timeout);
    if (!response) {
        return tl::unexpected<error>(response.error());
    }
    if (response->status == 409) {
        return fail(error_kind::stale_fencing, "the engine knows a newer term");
    }
    if (response->status >= 300) {
        return fail(error_kind::target_failed, "the engine answered " + std::to_string(response->status));
    }
    return {};
}

std::shared_ptr<stream_channel> engine_http::state::open_stream(std::string body) {
    auto channel = std::make_shared<stream_channel>();
    {
        const std::lock_guard lock(mutex);
        ++readers;
    }
    try {
        std::thread([self = shared_from_this(), channel, body = std::move(body)] {
            self->read_stream(body, channel);
        }).detach();
    } catch (const std::system_error& problem) {
        channel->outcome = fail(error_kind::target_busy, problem.what());
        const std::lock_guard lock(mutex);
        --readers;
    }
    return channel;
}

void engine_http::state::read_stream(const std::string& body,
                                     const std::shared_ptr<stream_channel>& channel) {
    http_client_request request;
    request.method = "POST";
    request.url = url("/engine/generate");
    request.headers["Content-Type"] = "application/json";
    request.headers["Accept"] = "text/event-stream";
    request.body = body;
    request.timeout = k_max_stream_duration;
    sse_parser parser;
    auto outcome = http_send_streaming(request, [&parser, &channel](std::string_view bytes) {
        auto events = parser.feed(bytes);
        std::unique_lock lock(channel->mutex);
        if (!events || channel->is_abandoned) {
            return false;
        }
        std::move(events->begin(), events->end(), std::back_inserter(channel->events));
        channel->changed.notify_all();
        channel->changed.wait(lock, [&channel] {
            return channel->is_abandoned || channel->events.size() < k_max_queued_events;
        });
        return !channel->is_abandoned;
    });
    bool was_abandoned = false;
    {
        const std::lock_guard lock(channel->mutex);
        channel->outcome = std::move(outcome);
        was_abandoned = channel->is_abandoned;
    }
    channel->changed.notify_all();
    {
        const std::lock_guard lock(mutex);
        --readers;
        if (was_abandoned) {
            --abandoned;
            counters.set("engine_abandoned_streams", abandoned);
        }
        // Notified under the lock, since the destructor may return as soon as it sees the count.
        reader_ended.notify_all();
    }
}

// Marks a stream as abandoned unless its reader has ended.
void engine_http::state::abandon(const std::shared_ptr<stream_channel>& channel) {
    const std::scoped_lock lock(mutex, channel->mutex);
    if (channel->outcome) {
        return;
    }
    channel->is_abandoned = true;
    channel->changed.notify_all();
    ++abandoned;
    counters.set("engine_abandoned_streams", abandoned);
}

result<engine_finish> engine_http::state::generate(const attempt_ref& ref, const generation_spec& spec,
                                                   const std::vector<token>& accepted,
                                                   const engine_stream& stream) {
    {
        const std::lock_guard lock(mutex);
        if (abandoned >= options.max_abandoned) {
            return fail(error_kind::target_busy, "too many abandoned streams of the engine are open");
        }
    }
    const auto channel = open_stream(dump(generate_body(ref, spec, accepted)));
    auto finished = forward_events(*channel, static_cast<token_index>(accepted.size()), stream);
    abandon(channel);
    if (!finished && finished.error().kind != error_kind::target_busy) {
        static_cast<void>(cancel(ref));
    }
    return finished;
}

// Forwards the events of a stream until it ends, stalls or is cancelled.
result<engine_finish> engine_http::state::forward_events(stream_channel& channel, token_index next,
                                                         const engine_stream& stream) {
    const time_point started = monotonic_now();
    engine_progress progress{started, started, false, started};
    while (true) {
        std::deque<sse_event> events;
        std::optional<error> ended;
        {
            std::unique_lock lock(channel.mutex);
            channel.changed.wait_for(lock, k_cancel_poll_interval,
                                     [&channel] { return !channel.events.empty() || channel.outcome; });
            events.swap(channel.events);
            if (channel.outcome) {
                ended = broken_stream(*channel.outcome);
            }
        }
        channel.changed.notify_all();
        if (stream.is_cancelled && stream.is_cancelled()) {
            return fail(error_kind::cancelled, "the generation was cancelled");
        }
        for (const auto& event : events) {
            if (event.event == "token") {
                record_token(progress, monotonic_now());
                auto parsed = parse_token(event.data);
                if (!parsed) {
                    return tl::unexpected<error>(std::move(parsed.error()));
                }
                if (parsed->index != next) {
                    return fail(error_kind::target_failed, "the engine's token indexes have a gap");
                }
                ++next;
                if (!stream.on_token(parsed->index, parsed->text)) {
                    return fail(error_kind::cancelled, "the generation was cancelled");
                }
            } else if (event.event == "done") {
                auto finish = parse_done(event.data);
                if (finish && finish->total != next) {
                    return fail(error_kind::target_failed, "the engine's done event has another total");
                }
                return finish;
            } else if (event.event == "ping") {
                record_ping(progress, monotonic_now(), options.silence);
            }
        }
        if (ended) {
            return tl::unexpected<error>(std::move(*ended));
        }
        const time_point now = monotonic_now();
        record_check(progress, k_cancel_poll_interval, now);
        const auto age = load_age();
        if (is_stream_stalled(now - progress.last, age, options.silence)) {
            counters.count("engine_abandoned_total");
            return age <= options.silence.max_load_age
                       ? fail(error_kind::target_failed, "the engine reports its load, but generates nothing")
                       : fail(error_kind::target_silent, "the engine is silent");
        }
    }
}

engine_http::engine_http() = default;

result<std::unique_ptr<engine_http>> engine_http::create(const engine_http_options& options,
                                                         metrics& counters) {
    if (const auto address = parse_endpoint(options.address); !address) {
        return tl::unexpected<error>(address.error());
    }
    std::unique_ptr<engine_http> engine(new engine_http());
    engine->m_state = std::make_shared<state>(options, counters);
    auto* raw = engine->m_state.get();
    raw->canceller = std::thread([raw] { raw->run_cancels(); });
    raw->load_poller = std::make_unique<poller>(options.load_interval, [raw] { raw->poll_load(); });
    return engine;
}

engine_http::~engine_http() {
    m_state->cancels.close();
    m_state->canceller.join();
    m_state->load_poller.reset();
    std::unique_lock lock(m_state->mutex);
    m_state->reader_ended.wait_for(lock, k_close_timeout, [this] { return m_state->readers == 0; });
}

engine_port engine_http::port() const {
    engine_port port;
    port.generate = [self = m_state](const attempt_ref& ref, const generation_spec& spec,
                                     const std::vector<token>& accepted, const engine_stream& stream) {
        return self->generate(ref, spec, accepted, stream);
    };
    port.cancel = [self = m_state](const attempt_ref& ref) { return self->cancel(ref); };
    port.load = [self = m_state] { return self->load(); };
    port.order = [self = m_state](const order_message& order) { return self->order(order); };
    return port;
}

std::uint32_t engine_http::abandoned() const {
    const std::lock_guard lock(m_state->mutex);
    return m_state->abandoned;
}

} // namespace lovage
