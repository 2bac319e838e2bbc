#include "lovage/core/gossip_message.h"

namespace lovage {

namespace {

// Sizes in bytes. CBOR needs 2 bytes before a text of less than 256 bytes and at most 9 for a number.
constexpr std::size_t k_text_header_bytes = 2;
constexpr std::size_t k_max_number_bytes = 9;
constexpr std::size_t k_max_enum_bytes = 2;
constexpr std::size_t k_array_header_bytes = 3;

std::size_t text_bound(const std::string& text) {
    return text.size() + k_text_header_bytes;
}

} // namespace

std::size_t encoded_size_bound(const member_info& member) {
    return k_array_header_bytes + text_bound(member.node) + 2 * k_max_number_bytes + 2 * k_max_enum_bytes +
           text_bound(member.zone) + text_bound(member.region) + text_bound(member.peer_address) +
           text_bound(member.http_address) + text_bound(member.gossip_address);
}

std::size_t encoded_size_bound(const move_record& record) {
    return k_array_header_bytes + text_bound(record.id) + text_bound(record.model) + text_bound(record.from) +
           text_bound(record.to) + k_max_enum_bytes + 4 * k_max_number_bytes + text_bound(record.reason);
}

std::size_t encoded_size_bound(const gossip_message& message) {
    std::size_t total = 4 * k_array_header_bytes + k_max_enum_bytes + 3 * k_max_number_bytes +
                        encoded_size_bound(message.sender) + text_bound(message.target) +
                        text_bound(message.target_address) + text_bound(message.facts.leader.node);
    for (const auto& veto : message.facts.vetoes) {
        total += text_bound(veto);
    }
    for (const auto& record : message.facts.moves) {
        total += encoded_size_bound(record);
    }
    for (const auto& update : message.updates) {
        total += encoded_size_bound(update);
    }
    return total;
}

} // namespace lovage
