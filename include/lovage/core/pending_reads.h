#pragma once

#include <cstdint>
#include <optional>

namespace lovage {

/// What the expiry of a timeout for an answer needs to know about the reading of the answer.
struct pending_reads {
    /// Number of parts of the answer that were read.
    std::uint64_t handled = 0;
    /// The same when the timer last expired; empty before.
    std::optional<std::uint64_t> handled_at_expiry;
};

/// Returns whether a timer that has expired must be started once more, without delay: parts of the answer
/// that arrived in time may not have been read, because the thread was held up. Readable sockets are handled
/// before such a timer, so the answer is late once nothing was read between two expiries.
bool must_read_first(pending_reads& reads);

} // namespace lovage
