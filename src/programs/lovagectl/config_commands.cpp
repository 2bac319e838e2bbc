#include "config_commands.h"

#include "file_text.h"
#include "wait_in_force.h"

#include "lovage/adapters/config_store.h"
#include "lovage/adapters/config_text.h"
#include "lovage/adapters/store_http.h"
#include "lovage/core/text_diff.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <limits>
#include <random>
#include <thread>

namespace lovage::ctl {

namespace {

constexpr std::uint64_t k_any_revision = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t k_max_wait_s = 3'600;
constexpr std::uint64_t k_default_history = 20;
constexpr std::uint64_t k_max_history = 10'000;

store_port open_store(const cli_options& options) {
    return make_store_http({options.text(option::store, "127.0.0.1:8000")});
}

// An id for the operation: 128 random bits as hexadecimal digits.
std::string make_operation_id() {
    std::random_device device;
    std::array<char, 33> text{};
    for (std::size_t i = 0; i < 4; ++i) {
        std::snprintf(text.data() + 8 * i, 9, "%08x", device());
    }
    return text.data();
}

std::string time_text(wall_time time) {
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

void print_summary(std::FILE* out, const stored_config& stored) {
    std::fprintf(out, "revision %llu, applied %s by %s: %s\n",
                 static_cast<unsigned long long>(stored.revision), time_text(stored.document.applied).c_str(),
                 stored.document.author.c_str(), stored.document.reason.c_str());
}

result<std::optional<stored_config>> read_selected_revision(const cli_options& options,
                                                            const store_port& store) {
    if (!options.has(option::revision)) {
        return read_current_config(store);
    }
    const auto revision = number_of(options, option::revision, 0, k_any_revision);
    if (!revision) {
        return tl::unexpected<error>(revision.error());
    }
    return read_config_revision(store, *revision).map([](stored_config&& stored) {
        return std::optional(std::move(stored));
    });
}

// Prints what has changed since the revision that the operator's edit is based on.
void print_conflict(const store_port& store, config_revision expected,
                    const std::optional<stored_config>& present) {
    std::fprintf(stderr, "conflict: nothing was changed; revision %llu is not the present one\n",
                 static_cast<unsigned long long>(expected));
    if (!present) {
        std::fprintf(stderr, "the present configuration could not be read, or there is none\n");
        return;
    }
    print_summary(stderr, *present);
    std::string base_text;
    if (expected > 0) {
        const auto base = read_config_revision(store, expected);
        if (!base) {
            std::fprintf(stderr, "revision %llu: %s\n", static_cast<unsigned long long>(expected),
                         base.error().detail.c_str());
            return;
        }
        base_text = base->document.text;
    }
    std::fprintf(stderr, "changes since revision %llu:\n%s", static_cast<unsigned long long>(expected),
                 text_diff(base_text, present->document.text).c_str());
    std::fprintf(stderr, "merge them into your text and apply it with --expect %llu\n",
                 static_cast<unsigned long long>(present->revision));
}

exit_code wait_until_in_force(const cli_options& options, config_revision revision, std::uint64_t seconds) {
    const auto waited = wait_in_force(options.texts(option::entry), revision,
                                      std::chrono::seconds(static_cast<long>(seconds)));
    if (!waited) {
        std::fprintf(stderr, "accepted, but %s\n", waited.error().detail.c_str());
        return exit_code::behind;
    }
    std::printf("in force in %zu processes, not in force in %zu\n", waited->in_force, waited->lagging.size());
    for (const auto& process : waited->lagging) {
        std::printf("  %s (%s): %s, revision %llu\n", process.node.c_str(), process.http_address.c_str(),
                    std::string(name_of(k_config_progress_names, process.progress)).c_str(),
                    static_cast<unsigned long long>(process.revision));
    }
    return waited->lagging.empty() ? exit_code::ok : exit_code::behind;
}

struct outcome_text {
    apply_outcome outcome;
    exit_code code;
    const char* text;
};

constexpr std::array<outcome_text, k_apply_outcome_count> k_outcome_texts{{
    {apply_outcome::accepted, exit_code::ok, "accepted"},
    {apply_outcome::conflict, exit_code::conflict, "conflict"},
    {apply_outcome::not_accepted, exit_code::not_accepted,
     "not accepted: the store gave no answer and still has the expected revision; look at it again with "
     "'show' "
     "before you repeat the change"},
    {apply_outcome::unknown, exit_code::unknown,
     "unknown: the store gave no answer and could not be read; look for the operation with 'history' before "
     "you "
     "repeat the change"},
}};

exit_code finish_apply(const cli_options& options, const store_port& store, const config_document& document,
                       std::uint64_t wait_seconds) {
    apply_options apply_settings;
    // Between two calls of the store, which announces nothing to this command; it has no other thread.
    apply_settings.sleep = [](milliseconds pause) { std::this_thread::sleep_for(pause); };
    const auto applied = apply_config(store, document, apply_settings);
    if (!applied) {
        return report_error(applied.error());
    }
    const auto& outcome = k_outcome_texts.at(static_cast<std::size_t>(applied->outcome));
    if (applied->outcome == apply_outcome::conflict) {
        print_conflict(store, document.previous, applied->current);
        return outcome.code;
    }
    if (applied->outcome != apply_outcome::accepted) {
        std::fprintf(stderr, "%s\noperation %s: %s\n", outcome.text, document.operation_id.c_str(),
                     applied->detail.c_str());
        return outcome.code;
    }
    std::printf("accepted: revision %llu, operation %s\n", static_cast<unsigned long long>(applied->revision),
                document.operation_id.c_str());
    if (!applied->has_history) {
        std::fprintf(stderr, "the history entry was not written (%s); the next apply writes it\n",
                     applied->detail.c_str());
    }
    return wait_seconds > 0 ? wait_until_in_force(options, applied->revision, wait_seconds) : outcome.code;
}

result<fleet_config> check_new_text(const std::string& text, const std::string& name,
                                    const std::optional<stored_config>& present) {
    const auto current = present ? parse_config_text(present->document.text, k_config_key)
                                 : fail(error_kind::not_found, "no configuration");
    return parse_config_update(text, name, current ? &*current : nullptr, wall_now());
}

config_document make_document(const cli_options& options, std::string text, config_revision previous) {
    return {make_operation_id(),
            options.text(option::author),
            options.text(option::reason),
            std::move(text),
            previous,
            wall_now(),
            0};
}

struct change_numbers {
    config_revision expected = 0;
    std::uint64_t wait_seconds = 0;
};

result<change_numbers> read_numbers(const cli_options& options, config_revision default_expected) {
    const auto expected = number_of(options, option::expect, default_expected, k_any_revision);
    const auto wait = number_of(options, option::wait, 0, k_max_wait_s);
    if (!expected || !wait) {
        return tl::unexpected<error>(expected ? wait.error() : expected.error());
    }
    if (*wait > 0 && !options.has(option::entry)) {
        return fail(error_kind::invalid_request, "--wait needs --entry");
    }
    return change_numbers{*expected, *wait};
}

} // namespace

exit_code run_apply(const cli_options& options) {
    // Without --expect only the first configuration can be applied. If the default were the current revision,
    // an edit of an outdated text could undo another operator's change.
    const auto numbers = read_numbers(options, 0);
    if (!numbers) {
        return report_error(numbers.error());
    }
    auto text = read_file(options.text(option::file));
    if (!text) {
        return report_error(text.error());
    }
    const auto store = open_store(options);
    const auto present = read_current_config(store);
    if (!present) {
        return report_error(present.error());
    }
    if ((*present ? (*present)->revision : 0) != numbers->expected) {
        print_conflict(store, numbers->expected, *present);
        return exit_code::conflict;
    }
    const auto config = check_new_text(*text, options.text(option::file), *present);
    if (!config) {
        return report_error(config.error());
    }
    return finish_apply(options, store, make_document(options, std::move(*text), numbers->expected),
                        numbers->wait_seconds);
}

exit_code run_show(const cli_options& options) {
    const auto stored = read_selected_revision(options, open_store(options));
    if (!stored) {
        return report_error(stored.error());
    }
    if (!*stored) {
        return report_error({error_kind::not_found, "there is no configuration yet", milliseconds(0)});
    }
    // Only the configuration text goes to standard output, so that it can be saved, edited and applied again.
    print_summary(stderr, **stored);
    std::printf("%s", (*stored)->document.text.c_str());
    return exit_code::ok;
}

exit_code run_diff(const cli_options& options) {
    const auto store = open_store(options);
    const auto base = read_selected_revision(options, store);
    if (!base) {
        return report_error(base.error());
    }
    const std::string before = *base ? (*base)->document.text : "";
    result<std::string> after = fail(error_kind::not_found, "there is no configuration yet");
    if (options.has(option::file)) {
        after = read_file(options.text(option::file));
    } else if (!options.has(option::revision)) {
        after = fail(error_kind::invalid_request, "diff needs --file, --revision or both");
    } else if (const auto present = read_current_config(store); !present) {
        after = tl::unexpected<error>(present.error());
    } else if (*present) {
        after = (*present)->document.text;
    }
    if (!after) {
        return report_error(after.error());
    }
    std::printf("%s", text_diff(before, *after).c_str());
    return exit_code::ok;
}

exit_code run_validate(const cli_options& options) {
    const std::string path = options.text(option::file);
    const auto text = read_file(path);
    if (!text) {
        return report_error(text.error());
    }
    result<std::optional<stored_config>> present = std::nullopt;
    if (options.has(option::store)) {
        present = read_current_config(open_store(options));
    }
    if (!present) {
        return report_error(present.error());
    }
    const auto config = check_new_text(*text, path, *present);
    if (!config) {
        return report_error(config.error());
    }
    std::printf("%s: valid\n", path.c_str());
    return exit_code::ok;
}

exit_code run_history(const cli_options& options) {
    const auto limit = number_of(options, option::limit, k_default_history, k_max_history);
    if (!limit) {
        return report_error(limit.error());
    }
    const auto revisions = read_config_history(open_store(options), *limit);
    if (!revisions) {
        return report_error(revisions.error());
    }
    for (const auto& stored : *revisions) {
        print_summary(stdout, stored);
        std::printf("  operation %s\n", stored.document.operation_id.c_str());
    }
    return exit_code::ok;
}

exit_code run_rollback(const cli_options& options) {
    const auto store = open_store(options);
    const auto present = read_current_config(store);
    const auto old = read_selected_revision(options, store);
    if (!present || !old) {
        return report_error(present ? old.error() : present.error());
    }
    const auto numbers = read_numbers(options, *present ? (*present)->revision : 0);
    if (!numbers) {
        return report_error(numbers.error());
    }
    // Moves (version rollouts) of the old text may be past their deadlines, which a new text must not
    // contain. Entries serve the old version for such moves, so the text is checked like one that was already
    // accepted.
    const auto config =
        parse_config_text((*old)->document.text, "revision " + options.text(option::revision));
    if (!config) {
        return report_error(config.error());
    }
    return finish_apply(options, store, make_document(options, (*old)->document.text, numbers->expected),
                        numbers->wait_seconds);
}

} // namespace lovage::ctl
