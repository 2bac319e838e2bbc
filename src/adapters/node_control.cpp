#include "lovage/adapters/node_control.h"

#include "lovage/adapters/admin_http.h"
#include "lovage/adapters/config_document.h"
#include "lovage/adapters/config_text.h"
#include "lovage/adapters/gossip_udp.h"
#include "lovage/adapters/log.h"
#include "lovage/adapters/move_codec.h"
#include "lovage/adapters/store_http.h"
#include "lovage/core/leadership.h"

#include <limits>
#include <utility>

namespace lovage {

namespace {

result<fleet_config> parse_document(const std::string& document) {
    const auto decoded = decode_config_document(document);
    if (!decoded) {
        return tl::unexpected<error>(decoded.error());
    }
    return parse_config_text(decoded->text, "config/current");
}

// A document that cannot be read is refused when it is parsed.
std::uint64_t era_of_document(const std::string& document) {
    const auto decoded = decode_config_document(document);
    return decoded ? decoded->era : std::numeric_limits<std::uint64_t>::max();
}

result<std::string> restate_document(const std::string& document, std::uint64_t era) {
    return decode_config_document(document).and_then([era](config_document&& decoded) {
        decoded.era = era;
        return encode_config_document(decoded);
    });
}

control_codecs make_codecs() {
    return {parse_document, encode_move_record, decode_move_record, era_of_document, restate_document};
}

} // namespace

struct node_control::gossip_holder {
    std::unique_ptr<gossip_udp> udp;
};

node_control::node_control(metrics& counters, view_publisher& publisher)
    : m_counters(counters), m_publisher(publisher), m_gossip(std::make_unique<gossip_holder>()) {}

node_control::~node_control() {
    // The receive thread posts to the control thread, so it stops first. The control thread may send through
    // the socket until it has ended.
    m_gossip->udp->stop();
    m_control.reset();
}

result<std::unique_ptr<node_control>>
node_control::start(const node_control_options& options, metrics& counters, view_publisher& publisher,
                    std::function<void(const node_id& agent, const order_message&)> send_order) {
    std::unique_ptr<node_control> node(new node_control(counters, publisher));
    const auto count = [&counters](const std::string& name, double by) { counters.count(name, by); };
    auto udp = gossip_udp::open(options.control.self.gossip_address, count);
    if (!udp) {
        return tl::unexpected<error>(udp.error());
    }
    node->m_gossip->udp = std::move(*udp);
    node->m_store = make_store_http(
        {options.store_address}, [&counters](std::string_view call, std::string_view outcome) {
            counters.count("store_calls_total", 1.0,
                           {{"call", std::string(call)}, {"outcome", std::string(outcome)}});
        });

    control_ports ports;
    ports.store = node->m_store;
    ports.gossip = node->m_gossip->udp->port();
    ports.codecs = make_codecs();
    ports.fetch_config = fetch_config;
    ports.count = count;
    ports.send_order = std::move(send_order);
    ports.log = [](std::string_view event, const std::string& detail) {
        log_event(log_level::info, event, {{"detail", detail}});
    };
    auto control = control_thread::start(options.control, std::move(ports), publisher);
    if (!control) {
        node->m_gossip->udp->stop();
        return tl::unexpected<error>(control.error());
    }
    node->m_control = std::move(*control);
    node->m_gossip->udp->receive(
        [thread = node->m_control.get()](gossip_message message, const std::string& from) {
            thread->post(datagram_event{std::move(message), from});
        });
    return node;
}

std::optional<fencing_number> node_control::current_term() const {
    const auto leader = m_store.get(std::string(k_leader_key));
    if (!leader || !leader->has_value()) {
        return std::nullopt;
    }
    return (*leader)->revision;
}

std::vector<http_route> node_control::routes(const node_id& node, std::function<void()> refresh) {
    admin_sources sources;
    sources.node = node;
    sources.view = [this] { return m_publisher.current(); };
    sources.config = [this] { return m_control->current_config(); };
    sources.metrics = [this, refresh = std::move(refresh)] {
        refresh();
        return m_counters.to_text();
    };
    return admin_routes(sources);
}

} // namespace lovage
