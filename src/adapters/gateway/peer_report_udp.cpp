#include "lovage/adapters/gateway/peer_report_udp.h"

#include "lovage/adapters/cbor_structure.h"
#include "lovage/adapters/settings.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

namespace lovage {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;
using udp = asio::ip::udp;

constexpr std::size_t k_max_datagram = 8'192;
// Maximum length of each list in a report, which bounds the cost of a malformed one.
constexpr std::size_t k_max_entries = 256;
// Limits of the structure of a report: each item takes a byte at least, and lists of lists have four levels.
constexpr cbor_limits k_report_limits{k_max_datagram, 16};

json to_json(const peer_usage& usage) {
    return json::array({usage.target_id, usage.in_flight, usage.awaiting_first_event_count, usage.copies,
                        usage.memory_tokens});
}

json to_json(const peer_target_failure& failure) {
    return json::array({failure.service, failure.zone, failure.target_id,
                        static_cast<unsigned>(failure.failure_kind), failure.number});
}

json to_json(const route_evidence& evidence) {
    return json::array({evidence.model, evidence.version, evidence.route, evidence.requests,
                        evidence.failures, evidence.slow_first_tokens, evidence.slow_gaps});
}

route_evidence evidence_of(const json& row) {
    return {row.at(0).get<std::string>(),   row.at(1).get<std::string>(),   row.at(2).get<std::string>(),
            row.at(3).get<std::uint64_t>(), row.at(4).get<std::uint64_t>(), row.at(5).get<std::uint64_t>(),
            row.at(6).get<std::uint64_t>()};
}

peer_usage usage_of(const json& row) {
    // Processes of earlier versions send no memory.
    const auto memory_tokens = row.size() > 4 ? row.at(4).get<std::uint64_t>() : 0;
    return {row.at(0).get<std::string>(), row.at(1).get<std::uint32_t>(), row.at(2).get<std::uint32_t>(),
            row.at(3).get<std::uint32_t>(), memory_tokens};
}

peer_target_failure failure_of(const json& row) {
    peer_target_failure failure;
    failure.service = row.at(0).get<std::string>();
    failure.zone = row.at(1).get<std::string>();
    failure.target_id = row.at(2).get<std::string>();
    const auto kind = row.at(3).get<unsigned>();
    failure.failure_kind =
        static_cast<target_failure_kind>(std::min<std::size_t>(kind, k_target_failure_kind_count - 1));
    failure.number = row.at(4).get<std::uint64_t>();
    return failure;
}

json to_json(const peer_leaving_target& leaving) {
    return json::array({leaving.target_id, leaving.started_ms});
}

peer_leaving_target leaving_of(const json& row) {
    return {row.at(0).get<std::string>(), row.at(1).get<std::uint64_t>()};
}

json to_json(const peer_prompt_crash& crash) {
    return json::array({crash.id, crash.service, crash.target_id, crash.parts, crash.age.count()});
}

json to_json(const peer_part_success& success) {
    return json::array({success.part, success.age.count()});
}

peer_prompt_crash crash_of(const json& row) {
    return {row.at(0).get<std::uint64_t>(), row.at(1).get<std::string>(), row.at(2).get<std::string>(),
            row.at(3).get<std::vector<std::string>>(), milliseconds(row.at(4).get<milliseconds::rep>())};
}

peer_part_success success_of(const json& row) {
    return {row.at(0).get<std::string>(), milliseconds(row.at(1).get<milliseconds::rep>())};
}

json to_json(const peer_request_loss& loss) {
    return json::array(
        {loss.request, loss.target_id, loss.target_started_ms, loss.is_withdrawn, loss.age.count()});
}

json to_json(const peer_request_success& success) {
    return json::array({success.request, success.age.count()});
}

peer_request_loss request_loss_of(const json& row) {
    return {row.at(0).get<std::uint64_t>(), row.at(1).get<std::string>(), row.at(2).get<std::uint64_t>(),
            row.at(3).get<bool>(), milliseconds(row.at(4).get<milliseconds::rep>())};
}

peer_request_success request_success_of(const json& row) {
    return {row.at(0).get<std::uint64_t>(), milliseconds(row.at(1).get<milliseconds::rep>())};
}

json to_json(const prompt_location& location) {
    return json::array({location.prompt, location.target_id, location.target_started_ms});
}

// A location that cannot be read costs a prefill at most, so it does not invalidate the rest of the report.
void read_locations(const json& list, peer_report& report) {
    if (!list.is_array()) {
        ++report.invalid_locations;
        return;
    }
    for (const auto& row : list) {
        try {
            if (report.prompt_locations.size() < k_max_reported_locations) {
                report.prompt_locations.push_back({row.at(0).get<std::uint64_t>(),
                                                   row.at(1).get<std::string>(),
                                                   row.at(2).get<std::uint64_t>()});
                continue;
            }
        } catch (const json::exception&) {
            // Counted below.
        }
        ++report.invalid_locations;
    }
}

json to_json(const peer_performance& performance) {
    const auto& [target, kind, permille, weight_percent] = performance.statement;
    return json::array({performance.service, target.id, target.started_ms, static_cast<unsigned>(kind),
                        permille, weight_percent});
}

// Kinds of later versions are left out.
std::vector<peer_performance> performance_of(const json& rows) {
    std::vector<peer_performance> items;
    for (const auto& row : rows) {
        const auto kind = row.at(3).get<std::uint64_t>();
        if (kind < k_work_time_count) {
            items.push_back({row.at(0).get<std::string>(),
                             {{row.at(1).get<std::string>(), row.at(2).get<std::uint64_t>()},
                              static_cast<work_time>(kind),
                              row.at(4).get<std::uint32_t>(),
                              row.at(5).get<std::uint32_t>()}});
        }
    }
    return items;
}

template <class Items>
json to_list(const Items& items) {
    auto list = json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

} // namespace

std::string encode_report(const peer_report& report) {
    json document{{"n", report.node},    {"b", report.started_ms},     {"s", report.sequence},
                  {"a", report.address}, {"u", to_list(report.usage)}, {"t", to_list(report.target_failures)},
                  {"p", report.peers},   {"l", report.is_leaving},     {"e", to_list(report.evidence)},
                  {"v", report.vetoes},  {"r", report.newest_change},  {"k", report.config_version}};
    if (!report.crashes.empty()) {
        document["c"] = to_list(report.crashes);
        document["o"] = to_list(report.successes);
    }
    if (!report.request_losses.empty()) {
        document["x"] = to_list(report.request_losses);
        document["y"] = to_list(report.request_successes);
    }
    if (!report.leaving_targets.empty()) {
        document["g"] = to_list(report.leaving_targets);
    }
    if (!report.prompt_locations.empty()) {
        document["h"] = to_list(report.prompt_locations);
    }
    if (!report.performance.empty()) {
        document["m"] = to_list(report.performance);
    }
    auto bytes = json::to_cbor(document);
    // Hints, without which the rest of the report is still of use; a datagram that is cut is lost whole.
    // Measurements are repeated, locations are sent for a second only.
    for (const char* hint : {"m", "h"}) {
        if (bytes.size() > k_max_datagram && document.erase(hint) > 0) {
            bytes = json::to_cbor(document);
        }
    }
    return {bytes.begin(), bytes.end()};
}

std::optional<peer_report> decode_report(const std::string& bytes) {
    if (find_cbor_problem(bytes, k_report_limits) != nullptr) {
        return std::nullopt;
    }
    try {
        const json document = json::from_cbor(bytes);
        peer_report report;
        report.node = document.at("n").get<std::string>();
        report.started_ms = document.at("b").get<std::uint64_t>();
        report.sequence = document.at("s").get<std::uint64_t>();
        report.address = document.at("a").get<std::string>();
        report.is_leaving = document.at("l").get<bool>();
        // Processes of earlier versions do not send it.
        report.newest_change = document.value("r", std::uint64_t{0});
        report.config_version = document.value("k", std::uint64_t{0});
        report.peers = document.at("p").get<std::vector<std::string>>();
        const auto& usage = document.at("u");
        const auto& target_failures = document.at("t");
        const auto& evidence = document.at("e");
        report.vetoes = document.at("v").get<std::vector<std::string>>();
        // Processes of earlier versions do not send them, and reports without crashes have neither.
        const auto crashes = document.value("c", json::array());
        const auto successes = document.value("o", json::array());
        const auto leaving = document.value("g", json::array());
        const auto request_losses = document.value("x", json::array());
        const auto request_successes = document.value("y", json::array());
        const auto performance = document.value("m", json::array());
        if (performance.size() > k_max_entries || leaving.size() > k_max_entries ||
            request_losses.size() > k_max_entries || request_successes.size() > k_max_entries ||
            crashes.size() > k_max_entries || successes.size() > k_max_entries ||
            usage.size() > k_max_entries || target_failures.size() > k_max_entries ||
            evidence.size() > k_max_entries || report.vetoes.size() > k_max_entries ||
            report.peers.size() > k_max_entries) {
            return std::nullopt;
        }
        std::transform(usage.begin(), usage.end(), std::back_inserter(report.usage), usage_of);
        std::transform(target_failures.begin(), target_failures.end(),
                       std::back_inserter(report.target_failures), failure_of);
        std::transform(leaving.begin(), leaving.end(), std::back_inserter(report.leaving_targets),
                       leaving_of);
        std::transform(evidence.begin(), evidence.end(), std::back_inserter(report.evidence), evidence_of);
        std::transform(crashes.begin(), crashes.end(), std::back_inserter(report.crashes), crash_of);
        std::transform(successes.begin(), successes.end(), std::back_inserter(report.successes), success_of);
        std::transform(request_losses.begin(), request_losses.end(),
                       std::back_inserter(report.request_losses), request_loss_of);
        std::transform(request_successes.begin(), request_successes.end(),
                       std::back_inserter(report.request_successes), request_success_of);
        read_locations(document.value("h", json::array()), report);
        report.performance = performance_of(performance);
        return report;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

struct peer_report_udp::state : std::enable_shared_from_this<peer_report_udp::state> {
    explicit state(asio::io_context& io) : socket(io) {}

    udp::socket socket;
    udp::endpoint sender;
    std::array<char, k_max_datagram> bytes{};
    std::function<void(peer_report)> on_report;
    std::function<void(const std::string&)> count_outcome;

    void receive() {
        socket.async_receive_from(asio::buffer(bytes), sender,
                                  [self = shared_from_this()](const error_code& failure, std::size_t size) {
                                      if (failure == asio::error::operation_aborted) {
                                          return;
                                      }
                                      if (!failure) {
                                          self->handle_datagram(size);
                                      }
                                      self->receive();
                                  });
    }

    void handle_datagram(std::size_t size) {
        auto report = decode_report(std::string(bytes.data(), size));
        count_outcome(report ? "received" : "malformed");
        if (report) {
            on_report(std::move(*report));
        }
    }

    void send(const std::string& address, const std::string& datagram) {
        const auto parsed = parse_endpoint(address);
        if (!parsed) {
            count_outcome("bad_address");
            return;
        }
        error_code failure;
        socket.send_to(asio::buffer(datagram), {asio::ip::make_address_v4(parsed->ip), parsed->port}, 0,
                       failure);
        count_outcome(failure ? "send_failed" : "sent");
    }
};

peer_report_udp::peer_report_udp() = default;

peer_report_udp::~peer_report_udp() {
    if (m_state) {
        error_code ignored;
        m_state->socket.close(ignored);
    }
}

result<std::unique_ptr<peer_report_udp>>
peer_report_udp::start(asio::io_context& io, const std::string& address,
                       std::function<void(peer_report)> on_report,
                       std::function<void(const std::string&)> count_outcome) {
    const auto parsed = parse_endpoint(address);
    if (!parsed) {
        return tl::unexpected<error>(parsed.error());
    }
    std::unique_ptr<peer_report_udp> endpoint(new peer_report_udp);
    endpoint->m_state = std::make_shared<state>(io);
    auto& endpoint_state = *endpoint->m_state;
    endpoint_state.on_report = std::move(on_report);
    endpoint_state.count_outcome = std::move(count_outcome);
    error_code failure;
    endpoint_state.socket.open(udp::v4(), failure);
    endpoint_state.socket.non_blocking(true, failure);
    endpoint_state.socket.bind({asio::ip::make_address_v4(parsed->ip), parsed->port}, failure);
    if (failure) {
        return fail(error_kind::invalid_settings, "cannot listen on " + address + ": " + failure.message());
    }
    endpoint_state.receive();
    return endpoint;
}

peer_report_port peer_report_udp::port() {
    peer_report_port port;
    port.send = [state = m_state, last_sequence = std::uint64_t{0},
                 bytes = std::string()](const std::string& address, const peer_report& report) mutable {
        // One report is sent to several peers in a row but encoded only once.
        if (report.sequence != last_sequence) {
            last_sequence = report.sequence;
            bytes = encode_report(report);
        }
        state->send(address, bytes);
    };
    return port;
}

} // namespace lovage
