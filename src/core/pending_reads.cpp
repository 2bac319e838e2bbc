#include "lovage/core/pending_reads.h"

#include <utility>

namespace lovage {

bool must_read_first(pending_reads& reads) {
    return std::exchange(reads.handled_at_expiry, reads.handled) != reads.handled;
}

} // namespace lovage
