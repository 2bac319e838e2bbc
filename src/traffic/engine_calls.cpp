#include "lovage/traffic/engine_calls.h"

#include "lovage/traffic/target_call.h"

#include <utility>

namespace lovage {

namespace {

// A healthy engine answers within a few milliseconds, in any zone.
constexpr milliseconds k_probe_timeout{100};
// Copying the state of a long prompt takes tens of milliseconds, and copies queue behind each other.
constexpr milliseconds k_copy_timeout{1'500};
constexpr milliseconds k_release_timeout{500};

} // namespace

void probe_run(gateway_traffic& traffic, const target_record& engine, const std::string& request_id,
               std::function<void(run_status)> done) {
    if (availability_of(traffic, engine, work_kind::running_work).state != acceptance::accepting) {
        // Silence of an engine that was not asked is no sign of its loss.
        done({run_state::not_told, 0});
        return;
    }
    traffic.sink.count("gateway_engine_calls", "probe");
    const auto finish = [decode = traffic.engine.decode_status, request_id,
                         done = std::move(done)](const std::optional<target_reply>& reply) {
        if (!reply) {
            done({});
            return;
        }
        done(reply->status == 200 ? decode(reply->body, request_id) : run_status{run_state::not_told, 0});
    };
    send_target_request(traffic, engine, work_kind::running_work, traffic.engine.status_request,
                        k_probe_timeout, finish);
}

void make_standby_copy(gateway_traffic& traffic, const target_record& engine, const std::string& request_id,
                       const standby_copy& holder, std::function<void(std::optional<std::string>)> done) {
    traffic.sink.count("gateway_engine_calls", "copy");
    const auto finish = [decode = traffic.engine.decode_standby_copy,
                         done = std::move(done)](const std::optional<target_reply>& reply) {
        done(reply && reply->status == 200 ? decode(reply->body) : std::nullopt);
    };
    send_target_request(traffic, engine, work_kind::running_work,
                        traffic.engine.make_standby_copy_request(request_id, holder.address), k_copy_timeout,
                        finish);
}

void query_prefix_cache(gateway_traffic& traffic, const target_record& engine,
                        std::function<void(std::vector<prompt_part>)> done) {
    traffic.sink.count("gateway_engine_calls", "kept");
    const auto finish = [decode = traffic.engine.decode_prefix_cache,
                         done = std::move(done)](const std::optional<target_reply>& reply) {
        done(reply && reply->status == 200 ? decode(reply->body) : std::vector<prompt_part>());
    };
    send_target_request(traffic, engine, work_kind::new_work, traffic.engine.prefix_cache_request,
                        k_probe_timeout, finish);
}

void release_standby_copy(gateway_traffic& traffic, const target_record& engine, const std::string& name) {
    traffic.sink.count("gateway_engine_calls", "free");
    send_target_request(traffic, engine, work_kind::running_work, traffic.engine.make_release_request(name),
                        k_release_timeout, [](const std::optional<target_reply>& /*reply*/) {
                            // Failures are ignored: a copy that is not released expires after some seconds.
                        });
}

} // namespace lovage
