#include "control_state_parts.h"

#include "lovage/control/move_control.h"
#include "lovage/core/store_revision.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace lovage {

namespace {

constexpr std::string_view k_config_key = "config/current";
// With 18 watchers this makes 9 calls a second. A process that shuts down waits for its pending watch.
constexpr milliseconds k_watch_timeout{2'000};
constexpr milliseconds k_watch_retry_interval{1'000};
// At start, a store that has not answered within this time is treated as unavailable.
constexpr milliseconds k_store_start_timeout{500};
// The leader writes a configuration that the store has lost only after this time, in which it hears of a
// newer one that others have, and the operators may write theirs.
constexpr milliseconds k_config_restore_delay{3'000};
constexpr milliseconds k_config_restore_interval{1'000};

void adopt_config(control_state& state, const config_copy& copy, control_output& output) {
    if (!may_adopt(state.propagation, copy.revision)) {
        return;
    }
    auto parsed = state.codecs.parse_config(copy.document);
    if (!parsed) {
        state.propagation.refused = copy.revision;
        write_log(output, "config_refused",
                  "revision " + std::to_string(copy.revision) + ": " + parsed.error().detail);
        output.counts.emplace_back("config_refused", 1.0);
        return;
    }
    parsed->revision = copy.revision;
    state.config = std::make_shared<const fleet_config>(std::move(*parsed));
    state.copy = std::make_shared<const config_copy>(copy);
    state.propagation.revision = copy.revision;
    state.propagation.phase = bootstrap_phase::ready;
    state.membership.facts.config_revision = copy.revision;
    state.is_changed = true;
    state.next_moves_tick_at = time_point{};
    write_log(output, "config_adopted", "revision " + std::to_string(copy.revision));
    announce_facts(state, output);
}

// Returns the configuration of the store with the revision that it had in the history in which it was
// written, so that a restored store does not bring an old one back.
config_copy copy_of(const control_state& state, const store_value& value) {
    const auto shown = era_of(value.revision);
    const auto written = state.codecs.config_era ? state.codecs.config_era(value.value) : shown;
    return {make_revision(std::min(written, shown), number_of(value.revision)), value.value};
}

// Records what the store showed in answer to a call. `value` is empty if it has no configuration.
config_copy record_stored(control_state& state, const store_reply& reply, time_point now,
                          control_output& output) {
    const store_value value = reply.value.value_or(store_value{});
    auto copy = copy_of(state, value);
    auto& stored = state.stored;
    stored.revision = value.revision;
    stored.written = copy.revision;
    stored.era = std::max(reply.era, era_of(value.revision));
    const auto active = state.propagation.revision;
    if (active == 0 || copy.revision >= active || stored.era <= era_of(active)) {
        stored.lacks_active_since.reset();
    } else if (!stored.lacks_active_since) {
        stored.lacks_active_since = now;
        write_log(output, "config_lost_by_store",
                  "active " + std::to_string(active) + ", stored " + std::to_string(copy.revision) +
                      ", store_era " + std::to_string(stored.era));
    }
    return copy;
}

} // namespace

void start_config(control_state& state, time_point now, control_output& output) {
    auto& propagation = state.propagation;
    if (propagation.phase == bootstrap_phase::ask_store && propagation.store_asked &&
        now >= propagation.next_bootstrap + k_store_start_timeout) {
        propagation.phase = bootstrap_phase::ask_peers;
        propagation.next_bootstrap = now;
    }
    if (propagation.phase == bootstrap_phase::ready || now < propagation.next_bootstrap) {
        return;
    }
    if (!propagation.store_asked) {
        propagation.store_asked = true;
        propagation.next_bootstrap = now;
        io_request request;
        request.purpose = io_purpose::config_start;
        request.store.key = std::string(k_config_key);
        output.io.push_back(std::move(request));
    }
    if (propagation.phase != bootstrap_phase::ask_peers ||
        propagation.peers_answered < propagation.peers_asked) {
        return;
    }
    const auto peers =
        choose_bootstrap_peers(member_list(state.membership), state.membership.self, state.random);
    propagation.next_bootstrap = now + k_bootstrap_retry_interval;
    propagation.peers_asked = peers.size();
    propagation.peers_answered = 0;
    propagation.best = propagation.from_copy;
    if (peers.empty() && propagation.best && now >= propagation.copy_usable_at) {
        adopt_config(state, *propagation.best, output);
    }
    for (const auto& peer : peers) {
        io_request request;
        request.purpose = io_purpose::start_peer;
        request.http_address = peer.http_address;
        output.io.push_back(std::move(request));
    }
}

void watch_config(control_state& state, time_point now, control_output& output) {
    if (state.is_watching || now < state.next_watch || state.propagation.phase != bootstrap_phase::ready ||
        !state.is_watcher) {
        return;
    }
    state.is_watching = true;
    state.watch_started = now;
    io_request request;
    request.purpose = io_purpose::config_watch;
    request.store.operation = store_operation::watch;
    request.store.key = std::string(k_config_key);
    request.store.revision =
        std::max({state.propagation.revision, state.propagation.refused, state.stored.revision});
    request.store.duration = k_watch_timeout;
    output.io.push_back(std::move(request));
}

void pull_config(control_state& state, time_point now, control_output& output) {
    if (state.propagation.phase != bootstrap_phase::ready) {
        // A starting process compares the copies of several peers instead, so that one stale zone cannot
        // determine its configuration.
        return;
    }
    if (const auto source = next_pull(state.propagation, now)) {
        io_request request;
        request.purpose = io_purpose::config_pull;
        request.http_address = source->http_address;
        output.io.push_back(std::move(request));
    }
}

void restore_config(control_state& state, time_point now, control_output& output) {
    const auto& since = state.stored.lacks_active_since;
    if (!since || state.is_restoring || !is_leading(state.leadership, now) || state.propagation.source ||
        now < std::max(*since + k_config_restore_delay, state.next_restore)) {
        return;
    }
    const auto document = state.codecs.restate_config(state.copy->document, state.stored.era);
    if (!document) {
        state.next_restore = now + k_config_restore_interval;
        write_log(output, "config_not_restored", document.error().detail);
        return;
    }
    state.is_restoring = true;
    io_request request;
    request.purpose = io_purpose::config_restore;
    request.store.operation = store_operation::compare_and_swap;
    request.store.key = std::string(k_config_key);
    request.store.value = *document;
    request.store.revision = state.stored.revision;
    output.io.push_back(std::move(request));
}

void apply_config_start(control_state& state, const io_event& event, time_point now, control_output& output) {
    auto& propagation = state.propagation;
    if (!event.store.value) {
        record_store_reply(propagation, !event.store.failure, now);
        return;
    }
    const auto copy = record_stored(state, event.store, now, output);
    const bool is_from_copy = era_of(copy.revision) < state.stored.era;
    record_store_reply(propagation, !is_from_copy, now);
    if (!is_from_copy) {
        adopt_config(state, copy, output);
    } else if (!propagation.from_copy) {
        propagation.from_copy = copy;
        propagation.copy_usable_at = now + k_copy_wait;
    }
}

void apply_config_watch(control_state& state, const io_event& event, time_point now, control_output& output) {
    state.is_watching = false;
    // The store answers a watch of a missing key immediately; without a pause the calls would never stop.
    const bool has_config = event.store.value && event.store.value->revision > 0;
    const bool is_early_reply = !has_config && now < state.watch_started + k_watch_timeout / 2;
    state.next_watch = event.store.failure || is_early_reply ? now + k_watch_retry_interval : now;
    if (event.store.value) {
        adopt_config(state, record_stored(state, event.store, now, output), output);
    }
}

void apply_start_peer(control_state& state, const io_event& event, time_point now, control_output& output) {
    record_peer_reply(state.propagation, event.copy, now);
    if (state.propagation.phase == bootstrap_phase::ask_peers && is_bootstrap_complete(state.propagation) &&
        state.propagation.best) {
        adopt_config(state, *state.propagation.best, output);
    }
}

void apply_config_pull(control_state& state, const io_event& event, time_point now, control_output& output) {
    record_pull_end(state.propagation, now);
    if (event.copy) {
        adopt_config(state, *event.copy, output);
    }
}

void apply_config_restore(control_state& state, const io_event& event, time_point now,
                          control_output& output) {
    state.is_restoring = false;
    state.next_restore = now + k_config_restore_interval;
    if (event.store.failure) {
        // The watch shows what the store has.
        return;
    }
    store_reply written;
    written.value = store_value{event.request.store.value, event.store.number};
    written.era = event.store.era;
    adopt_config(state, copy_of(state, *written.value), output);
    record_stored(state, written, now, output);
}

time_point next_config_step(const control_state& state, time_point now) {
    time_point next = time_point::max();
    const auto& propagation = state.propagation;
    const bool waits_for_peers = propagation.peers_answered < propagation.peers_asked;
    if (propagation.phase == bootstrap_phase::ask_store) {
        next = std::min(next, propagation.next_bootstrap +
                                  (propagation.store_asked ? k_store_start_timeout : milliseconds{0}));
    } else if (propagation.phase == bootstrap_phase::ask_peers && !waits_for_peers) {
        next = std::min(next, propagation.next_bootstrap);
    } else if (propagation.phase == bootstrap_phase::ready && propagation.source && !propagation.is_pulling &&
               may_adopt(propagation, propagation.source->revision)) {
        next = std::min(next, propagation.next_pull);
    }
    if (state.stored.lacks_active_since && !state.is_restoring && !propagation.source &&
        is_leading(state.leadership, now)) {
        next = std::min(
            next, std::max(*state.stored.lacks_active_since + k_config_restore_delay, state.next_restore));
    }
    return next;
}

} // namespace lovage
