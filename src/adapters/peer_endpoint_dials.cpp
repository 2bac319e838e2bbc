#include "peer_endpoint_state.h"

#include "lovage/adapters/log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovage {

namespace {

namespace asio = boost::asio;

constexpr unsigned k_max_backoff_doublings = 16;

} // namespace

void peer_endpoint::state::connect(const node_id& node, const std::string& address) {
    if (is_stopping || node == options.self.node) {
        return;
    }
    auto& target = dials[node];
    if (target.address == address) {
        return;
    }
    target.address = address;
    target.failures = 0;
    if (target.timer == nullptr) {
        target.timer = std::make_shared<asio::steady_timer>(io);
    }
    target.timer->cancel();
    dial(node);
}

void peer_endpoint::state::disconnect(const node_id& node) {
    if (const auto found = dials.find(node); found != dials.end()) {
        found->second.timer->cancel();
        const peer_link_ptr dialed = std::move(found->second.link);
        dials.erase(found);
        if (dialed != nullptr && !dialed->hello) {
            cancel_dial(dialed);
        }
    }
    if (const peer_link_ptr link = active_link(node)) {
        release(link, "disconnect requested");
        websocketpp::lib::error_code code;
        link->connection->close(websocketpp::close::status::normal, "", code);
    }
}

void peer_endpoint::state::dial(const node_id& node) {
    const auto found = dials.find(node);
    if (is_stopping || found == dials.end() || found->second.link != nullptr || is_connected(node)) {
        return;
    }
    websocketpp::lib::error_code code;
    const auto connection = client.get_connection("ws://" + found->second.address + "/", code);
    if (code) {
        log_event(log_level::error, "peer_address_unusable",
                  {{"node", node}, {"address", found->second.address}});
        return;
    }
    const peer_link_ptr link = adopt_connection(connection, true, node);
    found->second.link = link;
    connection->set_open_handler(
        [this, weak = std::weak_ptr<peer_link>(link)](const websocketpp::connection_hdl& /*handle*/) {
            if (const peer_link_ptr opened = weak.lock()) {
                on_open(opened);
            }
        });
    client.connect(connection);
}

void peer_endpoint::state::schedule_dial(const node_id& node) {
    const auto found = dials.find(node);
    if (is_stopping || found == dials.end()) {
        return;
    }
    auto& target = found->second;
    const auto doubled =
        options.min_reconnect_delay * (1U << std::min(target.failures, k_max_backoff_doublings));
    const auto delay = std::min<milliseconds>(doubled, options.max_reconnect_delay);
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    ++target.failures;
    target.timer->expires_after(
        std::chrono::duration_cast<std::chrono::microseconds>(delay * factor(random)));
    target.timer->async_wait([this, node](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            dial(node);
        }
    });
}

// Returns whether the link was the last one that was dialed for its node, so that the node may be dialed
// again.
bool peer_endpoint::state::end_dial(const peer_link_ptr& link) {
    const auto found = dials.find(link->dialed);
    if (!link->is_outgoing || found == dials.end() || found->second.link != link) {
        return false;
    }
    found->second.link.reset();
    return true;
}

// Ends a connection that is not in use yet. One that is still being opened ends in `on_open`.
void peer_endpoint::state::cancel_dial(const peer_link_ptr& link) {
    link->is_closed = true;
    if (link->connection->get_state() == websocketpp::session::state::open) {
        terminate(link);
    }
}

} // namespace lovage
