#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lovage {

/// Limits of one encoded message.
struct peer_codec_limits {
    /// A generation with the largest prompt and all its tokens, or a call with the largest body, fits.
    std::size_t max_bytes = 4U << 20U;
    /// CBOR data items (numbers, texts, lists, maps) in one message.
    std::size_t max_items = 262'144;
    std::size_t max_depth = 8;
};

/// Encodes a message as one CBOR item: a list of the message's name and a map of its fields. Fails with
/// `request_too_large` if the result is larger than the limit.
result<std::string> encode_peer_message(const peer_message& message, const peer_codec_limits& limits = {});

/// Decodes what `encode_peer_message` wrote. Unknown fields are skipped, so that a newer peer may add some.
/// Fails with `protocol_error` if the bytes exceed a limit, are not CBOR or lack a field.
result<peer_message> decode_peer_message(std::string_view bytes, const peer_codec_limits& limits = {});

} // namespace lovage
