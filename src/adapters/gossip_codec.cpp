#include "lovage/adapters/gossip_codec.h"

#include "lovage/core/time_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lovage {

namespace {

using nlohmann::json;

constexpr unsigned k_protocol_version = 1;
constexpr std::size_t k_member_fields = 10;
constexpr std::size_t k_move_fields = 10;
constexpr std::size_t k_message_fields = 11;
// An update takes at least 20 bytes and a veto at least 1, so no list has more items than a datagram has
// bytes.
constexpr std::size_t k_max_items = k_max_datagram_bytes;
constexpr double k_share_scale = 10'000.0;

json encode_member(const member_info& member) {
    return json::array({member.node, member.incarnation, member.refutations,
                        static_cast<unsigned>(member.role), member.zone, member.region, member.peer_address,
                        member.http_address, member.gossip_address, static_cast<unsigned>(member.state)});
}

json encode_move(const move_record& record) {
    return json::array(
        {record.id, record.model, record.from, record.to, static_cast<unsigned>(record.phase),
         static_cast<unsigned>(std::lround(record.share * k_share_scale)), record.fencing, record.sequence,
         static_cast<std::uint64_t>(std::max<std::int64_t>(0, record.deadline.time_since_epoch().count())),
         record.reason.substr(0, k_max_gossip_text_bytes)});
}

// The functions that read values throw std::runtime_error. `decode_gossip` turns it into an error, as it does
// with the exceptions of the JSON library.
const json& field(const json& array, std::size_t index) {
    return array.at(index);
}

const json& check_array(const json& value, std::size_t fields) {
    if (!value.is_array() || value.size() != fields) {
        throw std::runtime_error("an array has a wrong number of fields");
    }
    return value;
}

std::string read_text(const json& value) {
    auto text = value.get<std::string>();
    if (text.size() > k_max_gossip_text_bytes) {
        throw std::runtime_error("a text is too long");
    }
    return text;
}

template <class Number>
Number read_number(const json& value) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        throw std::runtime_error("a number is out of range");
    }
    return value.get<Number>();
}

template <class Enum>
Enum read_enum(const json& value, std::size_t count) {
    const auto number = read_number<std::uint32_t>(value);
    if (number >= count) {
        throw std::runtime_error("a value is outside its table");
    }
    return static_cast<Enum>(number);
}

member_info decode_member(const json& value) {
    check_array(value, k_member_fields);
    member_info member;
    member.node = read_text(field(value, 0));
    member.incarnation = read_number<std::uint64_t>(field(value, 1));
    member.refutations = read_number<std::uint32_t>(field(value, 2));
    member.role = read_enum<node_role>(field(value, 3), k_node_role_count);
    member.zone = read_text(field(value, 4));
    member.region = read_text(field(value, 5));
    member.peer_address = read_text(field(value, 6));
    member.http_address = read_text(field(value, 7));
    member.gossip_address = read_text(field(value, 8));
    member.state = read_enum<member_state>(field(value, 9), k_member_state_count);
    if (member.node.empty()) {
        throw std::runtime_error("a member has no name");
    }
    return member;
}

move_record decode_move(const json& value) {
    check_array(value, k_move_fields);
    move_record record;
    record.id = read_text(field(value, 0));
    record.model = read_text(field(value, 1));
    record.from = read_text(field(value, 2));
    record.to = read_text(field(value, 3));
    record.phase = read_enum<move_phase>(field(value, 4), k_move_phase_count);
    const auto share = read_number<std::uint32_t>(field(value, 5));
    if (share > static_cast<std::uint32_t>(k_share_scale)) {
        throw std::runtime_error("a share is above 1");
    }
    record.share = share / k_share_scale;
    record.fencing = read_number<std::uint64_t>(field(value, 6));
    record.sequence = read_number<std::uint64_t>(field(value, 7));
    const auto deadline = read_number<std::uint64_t>(field(value, 8));
    if (deadline > static_cast<std::uint64_t>(k_latest_wall_time.time_since_epoch().count())) {
        throw std::runtime_error("a deadline is out of range");
    }
    record.deadline = wall_time(milliseconds(deadline));
    record.reason = read_text(field(value, 9));
    return record;
}

template <class Item, class Read>
std::vector<Item> read_items(const json& value, Read read) {
    if (!value.is_array() || value.size() > k_max_items) {
        throw std::runtime_error("a list is malformed");
    }
    std::vector<Item> items;
    items.reserve(value.size());
    for (const auto& item : value) {
        items.push_back(read(item));
    }
    return items;
}

gossip_message decode_message(const json& value) {
    check_array(value, k_message_fields);
    if (read_number<std::uint32_t>(field(value, 0)) != k_protocol_version) {
        throw std::runtime_error("another protocol version");
    }
    gossip_message message;
    message.kind = read_enum<gossip_kind>(field(value, 1), k_gossip_kind_count);
    message.sequence = read_number<std::uint32_t>(field(value, 2));
    message.sender = decode_member(field(value, 3));
    message.target = read_text(field(value, 4));
    message.target_address = read_text(field(value, 5));
    message.facts.config_revision = read_number<std::uint64_t>(field(value, 6));
    const json& leader = check_array(field(value, 7), 2);
    message.facts.leader.fencing = read_number<std::uint64_t>(field(leader, 0));
    message.facts.leader.node = read_text(field(leader, 1));
    message.facts.vetoes = read_items<std::string>(field(value, 8), read_text);
    message.facts.moves = read_items<move_record>(field(value, 9), decode_move);
    message.updates = read_items<member_info>(field(value, 10), decode_member);
    return message;
}

} // namespace

std::vector<std::uint8_t> encode_gossip(const gossip_message& message) {
    json moves = json::array();
    for (const auto& record : message.facts.moves) {
        moves.push_back(encode_move(record));
    }
    json updates = json::array();
    for (const auto& update : message.updates) {
        updates.push_back(encode_member(update));
    }
    const json value = json::array({k_protocol_version, static_cast<unsigned>(message.kind), message.sequence,
                                    encode_member(message.sender), message.target, message.target_address,
                                    message.facts.config_revision,
                                    json::array({message.facts.leader.fencing, message.facts.leader.node}),
                                    json(message.facts.vetoes), std::move(moves), std::move(updates)});
    return json::to_cbor(value);
}

result<gossip_message> decode_gossip(std::string_view bytes) {
    if (bytes.size() > k_max_datagram_bytes) {
        return fail(error_kind::protocol_error, "a datagram is too large");
    }
    // The size limit also bounds the depth of nesting, and so the recursion of the parser.
    try {
        return decode_message(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const std::exception& failure) {
        return fail(error_kind::protocol_error, failure.what());
    }
}

} // namespace lovage
