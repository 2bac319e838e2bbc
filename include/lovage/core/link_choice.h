#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/time.h"

#include <cstdint>

namespace lovage {

/// Which connection is kept when a second one to the same node is established.
enum class link_choice : std::uint8_t { keep_existing, take_new };
inline constexpr std::size_t k_link_choice_count = 2;
inline constexpr enum_names<k_link_choice_count> k_link_choice_names{"keep_existing", "take_new"};

/// Properties of a connection on which the choice depends.
struct link_attributes {
    /// Incarnation of the other node.
    lovage::incarnation incarnation = 0;
    /// The node that opened the connection.
    node_id initiator;
    /// When the other side's hello arrived.
    time_point established{};
};

/// Chooses between two connections of one pair of nodes such that both sides keep the same one. The
/// connection to the newer incarnation wins. A node opens a connection only while it has none, so a second
/// one means either that the first is dead on the other side, and the new one is kept, or that both sides
/// opened one at the same time; in that case the one opened by the node with the lower name is kept.
link_choice choose_link(const link_attributes& existing, const link_attributes& fresh);

} // namespace lovage
