#pragma once

#include "lovage/core/gossip_message.h"
#include "lovage/core/result.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace lovage {

/// Encodes a datagram as CBOR arrays without field names. The reason of a move is truncated to
/// `k_max_gossip_text_bytes`; other texts must not be longer than that.
std::vector<std::uint8_t> encode_gossip(const gossip_message& message);

/// Decodes a datagram. Fails with `protocol_error` if it is larger than `k_max_datagram_bytes`, malformed, of
/// another protocol version, or holds a value out of range.
result<gossip_message> decode_gossip(std::string_view bytes);

} // namespace lovage
