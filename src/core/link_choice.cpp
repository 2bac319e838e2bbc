#include "lovage/core/link_choice.h"

namespace lovage {

namespace {

// Connections that both sides open at the same time are established within one connection timeout of each
// other.
constexpr milliseconds k_simultaneous_window{1'000};

} // namespace

link_choice choose_link(const link_attributes& existing, const link_attributes& fresh) {
    if (fresh.incarnation != existing.incarnation) {
        return fresh.incarnation > existing.incarnation ? link_choice::take_new : link_choice::keep_existing;
    }
    const bool is_simultaneous = fresh.initiator != existing.initiator &&
                                 fresh.established - existing.established < k_simultaneous_window;
    if (!is_simultaneous) {
        return link_choice::take_new;
    }
    return fresh.initiator < existing.initiator ? link_choice::take_new : link_choice::keep_existing;
}

} // namespace lovage
