#include "lovage/adapters/config_store.h"

#include "lovage/core/store_revision.h"

namespace lovage {

namespace {

// Maximum number of revisions that are read to find out whether a write took effect. Each concurrent change
// takes one, and operators' changes rarely compete.
constexpr std::size_t k_max_read_back = 100;
constexpr int k_max_history_attempts = 3;

result<stored_config> to_stored(const store_value& value, config_revision revision) {
    return decode_config_document(value.value).map([revision](config_document&& document) {
        return stored_config{revision, std::move(document)};
    });
}

result<stored_config> read_history_entry(const store_port& store, config_revision revision) {
    const auto value = store.get(config_history_key(revision));
    if (!value) {
        return tl::unexpected<error>(value.error());
    }
    if (!*value) {
        return fail(error_kind::not_found, "revision " + std::to_string(revision) + " is not in the history");
    }
    return to_stored(**value, revision);
}

// Creates the history entry of a revision. An entry that exists already is the same document, so a write
// whose answer was lost can simply be repeated.
result<void> write_history_entry(const store_port& store, config_revision revision, const std::string& json) {
    result<void> outcome;
    for (int tried = 0; tried < k_max_history_attempts; ++tried) {
        const auto written = store.compare_and_swap(config_history_key(revision), json, 0, 0);
        if (written || written.error().kind == error_kind::revision_conflict) {
            return {};
        }
        outcome = tl::unexpected<error>(written.error());
    }
    return outcome;
}

// Returns the changes after revision `expected`, the current one first; fewer if the history has a gap, and
// nullopt if the store cannot be read.
std::optional<std::vector<config_change>> read_links(const store_port& store, config_revision expected) {
    auto current = read_current_config(store);
    if (!current) {
        return std::nullopt;
    }
    std::vector<config_change> links;
    if (!*current) {
        return links;
    }
    stored_config at = std::move(**current);
    while (true) {
        links.push_back({at.revision, at.document.operation_id, at.document.previous});
        if (at.document.previous <= expected || links.size() >= k_max_read_back) {
            return links;
        }
        auto before = read_history_entry(store, at.document.previous);
        if (!before) {
            return before.error().kind == error_kind::not_found ? std::optional(links) : std::nullopt;
        }
        at = std::move(*before);
    }
}

apply_observations swap_once(const store_port& store, const config_document& document,
                             const std::string& encoded, bool has_lost_reply, std::string& detail) {
    apply_observations evidence;
    evidence.has_lost_reply = has_lost_reply;
    const auto written = store.compare_and_swap(k_config_key, encoded, document.previous, 0);
    if (written) {
        evidence.answer = swap_outcome::written;
        evidence.written = *written;
        return evidence;
    }
    detail = written.error().detail;
    evidence.answer =
        written.error().kind == error_kind::revision_conflict ? swap_outcome::conflict : swap_outcome::lost;
    if (evidence.answer == swap_outcome::lost || has_lost_reply) {
        evidence.read_back = read_links(store, document.previous);
    }
    return evidence;
}

// Writes the revision that is about to be replaced to the history.
result<void> archive_revision(const store_port& store, config_revision replaced) {
    if (replaced == 0) {
        return {};
    }
    const auto value = store.get(k_config_key);
    if (!value) {
        return tl::unexpected<error>(value.error());
    }
    // If another revision is the current one, the compare-and-swap reports the conflict.
    const bool is_present = *value && (*value)->revision == replaced;
    return is_present ? write_history_entry(store, replaced, (*value)->value) : result<void>{};
}

result<apply_report> apply_in_era(const store_port& store, const config_document& document,
                                  const apply_options& options) {
    const auto encoded = encode_config_document(document);
    if (!encoded) {
        return tl::unexpected<error>(encoded.error());
    }
    apply_report report;
    bool has_lost_reply = false;
    for (int tried = 0; tried < options.max_attempts; ++tried) {
        if (tried > 0) {
            options.sleep(options.retry_delay);
        }
        const auto evidence = swap_once(store, document, *encoded, has_lost_reply, report.detail);
        has_lost_reply = has_lost_reply || evidence.answer == swap_outcome::lost;
        const auto decision = decide_apply(document.previous, document.operation_id, evidence);
        report.outcome = decision.outcome;
        report.revision = decision.revision;
        if (decision.outcome == apply_outcome::accepted || decision.outcome == apply_outcome::conflict) {
            break;
        }
    }
    if (report.outcome == apply_outcome::accepted) {
        const auto archived = write_history_entry(store, report.revision, *encoded);
        report.has_history = archived.has_value();
        report.detail = archived ? "" : archived.error().detail;
    }
    if (report.outcome == apply_outcome::conflict) {
        if (auto current = read_current_config(store)) {
            report.current = std::move(*current);
        }
    }
    return report;
}

} // namespace

std::string config_history_key(config_revision revision) {
    return "config/history/" + std::to_string(revision);
}

result<std::optional<stored_config>> read_current_config(const store_port& store) {
    const auto value = store.get(k_config_key);
    if (!value) {
        return tl::unexpected<error>(value.error());
    }
    if (!*value) {
        return std::nullopt;
    }
    return to_stored(**value, (*value)->revision).map([](stored_config&& stored) {
        return std::optional(std::move(stored));
    });
}

result<stored_config> read_config_revision(const store_port& store, config_revision revision) {
    auto current = read_current_config(store);
    if (current && *current && (*current)->revision == revision) {
        return std::move(**current);
    }
    return read_history_entry(store, revision);
}

result<std::vector<stored_config>> read_config_history(const store_port& store, std::size_t limit) {
    auto current = read_current_config(store);
    if (!current) {
        return tl::unexpected<error>(current.error());
    }
    std::vector<stored_config> revisions;
    if (*current && limit > 0) {
        revisions.push_back(std::move(**current));
    }
    while (!revisions.empty() && revisions.size() < limit && revisions.back().document.previous > 0) {
        auto before = read_history_entry(store, revisions.back().document.previous);
        if (!before && before.error().kind != error_kind::not_found) {
            return tl::unexpected<error>(before.error());
        }
        if (!before) {
            break;
        }
        revisions.push_back(std::move(*before));
    }
    return revisions;
}

result<apply_report> apply_config(const store_port& store, const config_document& document,
                                  const apply_options& options) {
    const auto era = [&store] { return store.era ? store.era() : 0; };
    config_document stated = document;
    stated.era = era();
    if (const auto encoded = encode_config_document(stated); !encoded) {
        return tl::unexpected<error>(encoded.error());
    }
    if (const auto archived = archive_revision(store, document.previous); !archived) {
        return tl::unexpected<error>(archived.error());
    }
    stated.era = era();
    auto report = apply_in_era(store, stated, options);
    if (!report || report->outcome != apply_outcome::accepted || era_of(report->revision) == stated.era) {
        return report;
    }
    // The first answer of the store tells its era. A document with an earlier one would count as a copy.
    stated.era = era_of(report->revision);
    stated.previous = report->revision;
    return apply_in_era(store, stated, options);
}

} // namespace lovage
