#pragma once

#include "lovage/adapters/config_document.h"
#include "lovage/core/apply_decision.h"
#include "lovage/ports/store_port.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// Store key of the current configuration.
inline constexpr const char* k_config_key = "config/current";

/// Returns the store key of one revision in the history.
std::string config_history_key(config_revision revision);

/// A document with its revision.
struct stored_config {
    config_revision revision = 0;
    config_document document;
};

/// Reads the current configuration; nullopt if there is none.
result<std::optional<stored_config>> read_current_config(const store_port& store);

/// Reads one revision, whether current or in the history. Fails with `not_found`.
result<stored_config> read_config_revision(const store_port& store, config_revision revision);

/// Reads at most `limit` revisions, the current one first, by following `previous`. Stops early at a gap in
/// the history. Takes one call to the store for each revision.
result<std::vector<stored_config>> read_config_history(const store_port& store, std::size_t limit);

struct apply_options {
    /// Maximum attempts of the compare-and-swap under one operation id, and the fixed delay between them.
    int max_attempts = 5;
    milliseconds retry_delay{500};
    /// Blocks the calling thread for the given time; replaceable in tests.
    std::function<void(milliseconds)> sleep;
};

struct apply_report {
    apply_outcome outcome = apply_outcome::unknown;
    /// Revision of the change if it was accepted.
    config_revision revision = 0;
    /// The current configuration, read after a conflict.
    std::optional<stored_config> current;
    /// Whether `config/history/<revision>` was written. If not, the next apply writes it.
    bool has_history = false;
    /// Last error of the store, empty if there was none.
    std::string detail;
};

/// Replaces revision `document.previous` by `document` and writes its history entry. The entry of the
/// replaced revision is written first if it is missing, so that every replaced revision is in the history and
/// the outcome of a write whose reply was lost can be determined later. After such a write the store is
/// read; a change that did not take effect is sent again under the same operation id. Fails only before
/// anything was written: with the errors of `encode_config_document`, or those of the store while the
/// replaced revision is read or written to the history.
result<apply_report> apply_config(const store_port& store, const config_document& document,
                                  const apply_options& options);

} // namespace lovage
