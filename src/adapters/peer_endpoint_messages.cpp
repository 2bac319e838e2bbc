#include "peer_endpoint_state.h"

#include "lovage/adapters/log.h"
#include "lovage/core/link_choice.h"

#include <utility>

namespace lovage {

bool peer_endpoint::state::send(const node_id& node, const peer_message& message) {
    const peer_link_ptr link = active_link(node);
    if (link == nullptr) {
        return false;
    }
    auto bytes = encode_peer_message(message);
    if (!bytes) {
        counters.count("peer_send_refused_total", 1.0, {{"reason", "too_large"}});
        return false;
    }
    const std::size_t size = bytes->size();
    if (link->posted.load() + link->buffered.load() + size > options.max_buffered_bytes) {
        counters.count("peer_send_refused_total", 1.0, {{"reason", "buffer_full"}});
        if (!link->is_refresh_posted.exchange(true)) {
            boost::asio::post(io, [link] {
                link->is_refresh_posted = false;
                link->buffered = link->connection->get_buffered_amount();
            });
        }
        return false;
    }
    link->posted += size;
    boost::asio::post(io, [this, link, bytes = std::move(*bytes)] {
        link->posted -= bytes.size();
        write(link, bytes);
    });
    counters.count("peer_messages_sent_total", 1.0,
                   {{"message", std::string(k_peer_message_names.at(message.index()))}});
    return true;
}

void peer_endpoint::state::write(const peer_link_ptr& link, const std::string& bytes) {
    if (link->is_closed) {
        return;
    }
    const auto code = link->connection->send(bytes, websocketpp::frame::opcode::binary);
    link->buffered = link->connection->get_buffered_amount();
    if (code) {
        release(link, "send failed");
        terminate(link);
        return;
    }
    link->last_sent = monotonic_now();
}

void peer_endpoint::state::on_message(const peer_link_ptr& link, const std::string& payload) {
    if (link->is_closed) {
        return;
    }
    link->last_received = monotonic_now();
    auto message = decode_peer_message(payload);
    if (!message) {
        refuse(link, "peer_malformed_messages_total", message.error().detail);
        return;
    }
    const auto* hello = std::get_if<hello_message>(&*message);
    if ((hello != nullptr) == link->hello.has_value()) {
        refuse(link, "peer_malformed_messages_total", "hello is the first message, and only the first");
        return;
    }
    if (hello != nullptr) {
        on_hello(link, *hello);
        return;
    }
    counters.count("peer_messages_received_total", 1.0,
                   {{"message", std::string(k_peer_message_names.at(message->index()))}});
    if (events.on_message) {
        events.on_message(link->hello->node, std::move(*message));
    }
}

void peer_endpoint::state::on_hello(const peer_link_ptr& link, const hello_message& hello) {
    if (hello.protocol != options.self.protocol) {
        refuse(link, "peer_connections_refused_total", "another protocol version");
        return;
    }
    if (hello.node == options.self.node || hello.node.empty() ||
        (!link->dialed.empty() && hello.node != link->dialed)) {
        refuse(link, "peer_connections_refused_total", "not the expected node");
        return;
    }
    link->established = monotonic_now();
    if (const peer_link_ptr existing = active_link(hello.node)) {
        const auto initiator = [this, &hello](const peer_link_ptr& of) {
            return of->dialed.empty() ? hello.node : options.self.node;
        };
        const auto choice =
            choose_link({existing->hello->incarnation, initiator(existing), existing->established},
                        {hello.incarnation, initiator(link), link->established});
        counters.count("peer_replaced_total", 1.0,
                       {{"choice", std::string(name_of(k_link_choice_names, choice))}});
        if (choice == link_choice::keep_existing) {
            link->is_closed = true;
            terminate(link);
            return;
        }
        release(existing, "replaced");
        terminate(existing);
    }
    link->hello = hello;
    {
        const std::lock_guard lock(mutex);
        active[hello.node] = link;
        counters.set("peer_connections", static_cast<double>(active.size()));
    }
    if (const auto found = dials.find(hello.node); found != dials.end()) {
        found->second.failures = 0;
    }
    log_event(log_level::info, "peer_connected",
              {{"node", hello.node}, {"incarnation", std::to_string(hello.incarnation)}});
    if (events.on_connected) {
        events.on_connected(hello);
    }
}

} // namespace lovage
