#include "lovage/core/apply_decision.h"

#include <algorithm>

namespace lovage {

namespace {

apply_decision decide_by_history(config_revision expected, const std::string& operation,
                                 const std::vector<config_change>& links) {
    const auto own = std::find_if(links.begin(), links.end(), [&operation](const config_change& link) {
        return link.operation == operation;
    });
    if (own != links.end()) {
        return {apply_outcome::accepted, own->revision};
    }
    const config_revision current = links.empty() ? 0 : links.front().revision;
    if (current == expected) {
        return {apply_outcome::not_accepted, 0};
    }
    // Revisions only increase, so a current revision below the expected one means that the expected revision
    // belongs to another store or was removed.
    if (current < expected) {
        return {apply_outcome::conflict, 0};
    }
    const bool is_complete = std::any_of(links.begin(), links.end(), [expected](const config_change& link) {
        return link.previous == expected;
    });
    return {is_complete ? apply_outcome::conflict : apply_outcome::unknown, 0};
}

} // namespace

apply_decision decide_apply(config_revision expected, const std::string& operation,
                            const apply_observations& evidence) {
    if (evidence.answer == swap_outcome::written) {
        return {apply_outcome::accepted, evidence.written};
    }
    // A conflict is conclusive only if no earlier attempt can have taken effect; otherwise the conflicting
    // revision may be this change itself.
    if (evidence.answer == swap_outcome::conflict && !evidence.has_lost_reply) {
        return {apply_outcome::conflict, 0};
    }
    if (!evidence.read_back) {
        return {apply_outcome::unknown, 0};
    }
    return decide_by_history(expected, operation, *evidence.read_back);
}

} // namespace lovage
