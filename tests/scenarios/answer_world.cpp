#include "answer_world.h"

#include "virtual_network.h"

#include "lovage/core/answer_log.h"
#include "lovage/core/attempt_guard.h"
#include "lovage/core/engine_stall.h"
#include "lovage/core/resume.h"
#include "lovage/core/routing.h"

#include <array>
#include <optional>
#include <set>

namespace lovage::scenarios {

namespace {

constexpr milliseconds k_token_interval{50};
constexpr milliseconds k_progress_interval{200};
constexpr milliseconds k_home_interval{50};
// How long routing skips a target after an attempt on it failed or was refused because it was busy.
constexpr milliseconds k_failed_exclusion{2'000};
constexpr milliseconds k_busy_exclusion{200};
constexpr std::uint32_t k_slots = 4;

struct running_attempt {
    attempt_ref ref;
    std::string version;
    token_index next = 0;
    milliseconds last_token{0};
    milliseconds last_progress{0};
};

struct agent {
    target_state target;
    attempt_guard guard;
    std::map<request_id, running_attempt> running;
    milliseconds stalled_until{0};
    milliseconds sends_twice_until{0};
    bool drops_next_message = false;
    bool is_stepping = false;
};

// The tokens of one answer that the caller has received.
struct caller {
    std::uint64_t answer = 0;
    std::vector<token> tokens;
    attempt_number last_attempt = 0;
    milliseconds last_token{0};
    milliseconds longest_gap{0};
};

// An answer as the home entry keeps it while it runs and is resumed.
struct session {
    answer_log log;
    std::string version;
    std::optional<std::string> target;
    milliseconds last_heard{0};
    milliseconds retry_at{0};
    std::optional<milliseconds> waiting_since;
    std::map<std::string, milliseconds> excluded;
    std::uint32_t losses_without_progress = 0;
    token_index attempt_first = 0;
    bool delivered = false;
    std::optional<error_kind> failure;
    std::uint32_t attempts = 0;
    caller received;
};

// Identifies where a token comes from; encoded in the token's text, so that the caller can check it.
struct token_origin {
    std::string version;
    std::uint64_t answer = 0;
    token_index index = 0;
    attempt_number attempt = 0;
};

std::string token_text(const token_origin& origin) {
    return origin.version + "|" + std::to_string(origin.answer) + "|" + std::to_string(origin.index) + "|" +
           std::to_string(origin.attempt);
}

token_origin origin_of(const token& text) {
    std::array<std::string, 4> parts;
    std::size_t part = 0;
    for (const char c : text) {
        if (c == '|') {
            ++part;
        } else {
            parts.at(part) += c;
        }
    }
    return {parts[0], std::stoull(parts[1]), static_cast<token_index>(std::stoul(parts[2])),
            static_cast<attempt_number>(std::stoul(parts[3]))};
}

// One home entry, which owns the sessions of all answers, and agents with simulated engines.
struct answer_world {
    const scenario& scenario_spec;
    virtual_network network;
    std::string home;
    std::map<std::string, agent> agents;
    std::map<request_id, session> sessions;
    std::uint64_t next_answer_id = 1;
    std::uint64_t routing_decisions = 0;
    run_outcome outcome;

    explicit answer_world(const scenario& from) : scenario_spec(from), network(from.seed) {}

    milliseconds now() const { return network.clock.now; }
    time_point current_time() const { return time_point(std::chrono::hours{1}) + now(); }
    void add_fact(const std::string& name, double by) { outcome.facts[name] += by; }

    // ---- agent ----

    void start_attempt(const std::string& name, const attempt_ref& ref, const std::string& version,
                       std::size_t accepted) {
        agent& self = agents.at(name);
        if (!admit_attempt(self.guard, ref)) {
            add_fact("refused_attempts", 1);
            return;
        }
        const bool is_new = self.running.count(ref.request) == 0;
        if (is_new && (self.target.leaving || self.running.size() >= k_slots + 2)) {
            network.send(name, home, [this, name, ref] { on_failed(name, ref, error_kind::target_busy); });
            return;
        }
        self.running[ref.request] = {ref, version, static_cast<token_index>(accepted), now(), now()};
        if (!self.is_stepping) {
            self.is_stepping = true;
            network.timer(name, k_token_interval, [this, name] { step_agent(name); });
        }
    }

    void step_agent(const std::string& name) {
        agent& self = agents.at(name);
        std::vector<attempt_ref> ended;
        for (auto& [request, attempt] : self.running) {
            if (step_attempt(name, self, attempt)) {
                ended.push_back(attempt.ref);
            }
        }
        for (const auto& ref : ended) {
            self.running.erase(ref.request);
        }
        self.is_stepping = !self.running.empty();
        if (self.is_stepping) {
            network.timer(name, k_token_interval, [this, name] { step_agent(name); });
        }
    }

    // Generates the next token or reports progress; returns whether the attempt has ended.
    bool step_attempt(const std::string& name, agent& self, running_attempt& attempt) {
        const attempt_ref ref = attempt.ref;
        const std::string sender = name;
        if (self.stalled_until > now()) {
            if (is_stream_stalled(now() - attempt.last_token, milliseconds{0}, engine_stall_timeouts{})) {
                network.send(name, home,
                             [this, sender, ref] { on_failed(sender, ref, error_kind::target_failed); });
                return true;
            }
            if (now() - attempt.last_progress >= k_progress_interval) {
                attempt.last_progress = now();
                network.send(name, home, [this, ref] { on_progress(ref); });
            }
            return false;
        }
        if (attempt.next < scenario_spec.tokens) {
            const token_index first = attempt.next++;
            attempt.last_token = now();
            const token text = token_text({attempt.version, ref.answer.value, first, ref.attempt});
            const int copies = self.sends_twice_until > now() ? 2 : 1;
            for (int copy = 0; copy < copies && !self.drops_next_message; ++copy) {
                network.send(name, home,
                             [this, sender, ref, first, text] { on_tokens(sender, ref, first, text); });
            }
            self.drops_next_message = false;
            return false;
        }
        network.send(name, home, [this, sender, ref] { on_finished(sender, ref); });
        return true;
    }

    void cancel(const std::string& name, const attempt_ref& ref) {
        network.send(home, name, [this, name, ref] {
            agent& self = agents.at(name);
            close_attempt(self.guard, ref);
            const auto found = self.running.find(ref.request);
            if (found != self.running.end() && found->second.ref.answer == ref.answer &&
                found->second.ref.attempt <= ref.attempt) {
                self.running.erase(found);
            }
        });
    }

    // ---- home entry ----

    static bool is_over(const session& current) { return current.failure || current.log.finished; }

    attempt_ref ref_of(const session& current) const {
        return {current.log.request, current.log.answer, current.log.attempt};
    }

    void on_progress(const attempt_ref& ref) {
        session& current = sessions.at(ref.request);
        if (ref == ref_of(current)) {
            current.last_heard = now();
        }
    }

    void on_tokens(const std::string& from, const attempt_ref& ref, token_index first, const token& text) {
        session& current = sessions.at(ref.request);
        if (is_over(current)) {
            return;
        }
        handle_log_outcome(from, ref, current, accept_tokens(current.log, ref, first, {text}));
    }

    void on_finished(const std::string& from, const attempt_ref& ref) {
        session& current = sessions.at(ref.request);
        if (is_over(current)) {
            return;
        }
        handle_log_outcome(from, ref, current,
                           accept_final(current.log, ref, scenario_spec.tokens, finish_reason::length));
        if (current.log.finished) {
            release_target(current);
        }
    }

    // Acts on what the answer log made of a message from `from`.
    void handle_log_outcome(const std::string& from, const attempt_ref& ref, session& current,
                            log_outcome result) {
        add_fact("messages_" + std::string(name_of(k_log_outcome_names, result)), 1);
        switch (result) {
        case log_outcome::accepted:
            current.losses_without_progress = 0;
            current.last_heard = now();
            deliver(current);
            return;
        case log_outcome::repeated:
        case log_outcome::finished:
            current.last_heard = now();
            return;
        case log_outcome::other_attempt:
            cancel(from, ref);
            return;
        case log_outcome::gap:
            if (current.target) {
                end_attempt(current, attempt_event::gap);
            }
            return;
        case log_outcome::after_final:
            return;
        }
    }

    void on_failed(const std::string& from, const attempt_ref& ref, error_kind kind) {
        session& current = sessions.at(ref.request);
        if (!is_over(current) && ref == ref_of(current) && current.target == from) {
            end_attempt(current, event_for_failure(kind));
        }
    }

    void release_target(session& current) {
        if (current.target) {
            auto& count = agents.at(*current.target).target.in_flight;
            count -= std::min(count, 1U);
            current.target.reset();
        }
    }

    // Ends the attempt in progress because of `event` and looks for another target.
    void end_attempt(session& current, attempt_event event) {
        const std::string previous_target = *current.target;
        if (event == attempt_event::busy) {
            current.excluded[previous_target] = now() + k_busy_exclusion;
        } else {
            const bool is_fruitless = current.log.tokens.size() == current.attempt_first;
            current.losses_without_progress = is_fruitless ? current.losses_without_progress + 1 : 1;
            current.excluded[previous_target] = now() + k_failed_exclusion;
        }
        if (event == attempt_event::silent || event == attempt_event::gap) {
            cancel(previous_target, ref_of(current));
        }
        release_target(current);
        find_target(current, event);
    }

    std::optional<std::string> choose_agent(const session& current, const std::string& version,
                                            bool skips_excluded) {
        std::vector<target_state> targets;
        for (const auto& [name, candidate] : agents) {
            targets.push_back(candidate.target);
        }
        target_requirements need{"m", version, "", {}, !current.log.tokens.empty(), 0};
        for (const auto& [name, until] : current.excluded) {
            if (skips_excluded && until > now()) {
                need.excluded.push_back(name);
            }
        }
        const routing_context context{routing_policy::two_choices, network.nodes.at(home).zone,
                                      current_time(), ++routing_decisions};
        const auto index = choose_target(targets, need, context, network.random);
        return index ? std::optional(targets[*index].node) : std::nullopt;
    }

    std::string other_version(const session& current) const {
        for (const auto& [name, candidate] : agents) {
            const std::string& version = candidate.target.report.loaded.front().version;
            if (version != current.version && candidate.target.connected && !candidate.target.leaving) {
                return version;
            }
        }
        return {};
    }

    void start_answer(session& current) {
        current.log = {current.log.request, {next_answer_id++}, 0, {}, false, {}};
        current.delivered = false;
        current.waiting_since.reset();
    }

    void find_target(session& current, attempt_event event) {
        while (true) {
            const auto target = choose_agent(current, current.version, true);
            resume_state state;
            state.has_target = target.has_value();
            state.has_live_target = choose_agent(current, current.version, false).has_value();
            state.has_serving_target = !other_version(current).empty();
            state.has_delivered_tokens = current.delivered;
            state.losses_without_progress = current.losses_without_progress;
            if (current.waiting_since) {
                state.waiting_since = time_point(std::chrono::hours{1}) + *current.waiting_since;
            }
            const auto decision = decide_resume(state, event, current_time());
            event = attempt_event::target_wanted;
            switch (decision.action) {
            case resume_action::resume:
                dispatch(current, *target);
                return;
            case resume_action::wait:
                current.waiting_since = current.waiting_since.value_or(now());
                current.retry_at =
                    std::chrono::duration_cast<milliseconds>(decision.retry_at - current_time()) + now();
                return;
            case resume_action::restart:
                add_fact("restarts", 1);
                current.version = other_version(current);
                start_answer(current);
                break;
            case resume_action::end:
                current.failure = decision.kind;
                add_fact("ended_" + std::string(to_string(decision.kind)), 1);
                return;
            }
        }
    }

    void dispatch(session& current, const std::string& name) {
        ++current.log.attempt;
        ++current.attempts;
        current.target = name;
        current.attempt_first = static_cast<token_index>(current.log.tokens.size());
        current.last_heard = now();
        current.waiting_since.reset();
        agent& target = agents.at(name);
        ++target.target.in_flight;
        check_invariant(outcome, invariant::no_work_when_leaving, !target.target.leaving, now(),
                        name + " is leaving but gets a new attempt");
        const attempt_ref ref = ref_of(current);
        network.send(home, name,
                     [this, name, ref, version = current.version, accepted = current.log.tokens.size()] {
                         start_attempt(name, ref, version, accepted);
                     });
    }

    void step_home() {
        for (auto& [request, current] : sessions) {
            if (is_over(current)) {
                continue;
            }
            if (current.target && now() - current.last_heard >= k_attempt_heartbeat_timeout) {
                end_attempt(current, attempt_event::silent);
            } else if (!current.target && now() >= current.retry_at) {
                find_target(current, attempt_event::target_wanted);
            }
        }
        network.timer(home, k_home_interval, [this] { step_home(); });
    }

    // ---- caller ----

    // Delivers new tokens to the caller and checks the invariants on them.
    void deliver(session& current) {
        caller& received = current.received;
        if (received.answer != current.log.answer.value) {
            const milliseconds last = received.last_token;
            const milliseconds gap = received.longest_gap;
            received = {current.log.answer.value, {}, 0, last, gap};
        }
        while (received.tokens.size() < current.log.tokens.size()) {
            const token& text = current.log.tokens[received.tokens.size()];
            const token_origin origin = origin_of(text);
            check_invariant(outcome, invariant::no_token_missing, origin.index == received.tokens.size(),
                            now(), "index " + std::to_string(received.tokens.size()) + " holds " + text);
            check_invariant(outcome, invariant::no_text_mixed,
                            origin.answer == received.answer && origin.version == current.version &&
                                origin.attempt >= received.last_attempt,
                            now(),
                            "after attempt " + std::to_string(received.last_attempt) + " of answer " +
                                std::to_string(received.answer) + " comes " + text);
            received.last_attempt = std::max(received.last_attempt, origin.attempt);
            received.longest_gap = std::max(received.longest_gap, now() - received.last_token);
            received.last_token = now();
            received.tokens.push_back(text);
        }
        current.delivered = current.delivered || !received.tokens.empty();
    }

    // ---- faults ----

    void set_connected(const std::string& name, bool is_connected) {
        agents.at(name).target.connected = is_connected;
        for (auto& [request, current] : sessions) {
            if (!is_connected && !is_over(current) && current.target == name) {
                end_attempt(current, attempt_event::connection_lost);
            }
        }
    }

    void crash(const scenario_event& event) {
        network_node& node = network.nodes.at(event.actor);
        node.is_up = false;
        network.timer(home, milliseconds{1}, [this, name = event.actor] { set_connected(name, false); });
        if (event.duration > milliseconds{0}) {
            network.clock.after(event.duration, [this, name = event.actor] {
                network_node& restarted = network.nodes.at(name);
                restarted.is_up = true;
                ++restarted.current_incarnation;
                agent& self = agents.at(name);
                self.guard = {};
                self.running.clear();
                self.is_stepping = false;
                self.target.in_flight = 0;
                self.target.incarnation = restarted.current_incarnation;
                network.timer(home, milliseconds{1}, [this, name] { set_connected(name, true); });
            });
        }
    }

    milliseconds end_time(const scenario_event& event) const {
        return event.duration == milliseconds{0} ? milliseconds::max() : now() + event.duration;
    }

    void schedule_undo(const scenario_event& event, std::function<void()> undo) {
        if (event.duration > milliseconds{0}) {
            network.clock.after(event.duration, std::move(undo));
        }
    }

    void apply(const scenario_event& event) {
        switch (event.kind) {
        case event_kind::crash:
            if (network.nodes.at(event.actor).is_up && event.actor != home) {
                crash(event);
            }
            break;
        case event_kind::pause:
            network.pause(event.actor, event.duration);
            break;
        case event_kind::cut:
            network.partitions.add(event.actor, event.peer);
            schedule_undo(event, [this, event] { network.partitions.remove(event.actor, event.peer); });
            break;
        case event_kind::late:
            network.nodes.at(event.actor).extra_latency =
                milliseconds{static_cast<std::int64_t>(event.value)};
            schedule_undo(event,
                          [this, event] { network.nodes.at(event.actor).extra_latency = milliseconds{0}; });
            break;
        case event_kind::duplicate:
            agents.at(event.actor).sends_twice_until = end_time(event);
            break;
        case event_kind::lose_message:
            agents.at(event.actor).drops_next_message = true;
            break;
        case event_kind::stall:
            agents.at(event.actor).stalled_until = end_time(event);
            break;
        case event_kind::leave:
            network.send(event.actor, home,
                         [this, name = event.actor] { agents.at(name).target.leaving = true; });
            break;
        default:
            break;
        }
    }

    void prepare() {
        for (const auto& actor : scenario_spec.actors) {
            network.nodes[actor.name].zone = actor.zone;
            if (actor.role == node_role::entry) {
                home = actor.name;
                continue;
            }
            target_state& target = agents[actor.name].target;
            target.node = actor.name;
            target.zone = actor.zone;
            target.incarnation = 1;
            target.connected = true;
            target.report.engine_up = true;
            target.report.slots = k_slots;
            target.report.loaded = {{"m", actor.version, ""}};
            target.reported_at = current_time();
        }
        for (const auto& event : scenario_spec.events) {
            network.clock.at(event.at, [this, &event] { apply(event); });
        }
        for (std::uint32_t i = 0; i < scenario_spec.requests; ++i) {
            const auto request = request_id::from_key("organisation", std::to_string(i));
            session& current = sessions[request];
            current.log.request = request;
            current.version = "v1";
            start_answer(current);
            network.timer(home, milliseconds{10}, [this, request] {
                find_target(sessions.at(request), attempt_event::target_wanted);
            });
        }
        network.timer(home, milliseconds{20}, [this] { step_home(); });
    }

    void record_end_facts() {
        for (const auto& [request, current] : sessions) {
            const bool is_complete =
                current.log.finished && current.received.tokens.size() == scenario_spec.tokens;
            add_fact(current.failure ? "failed" : is_complete ? "complete" : "open", 1);
            add_fact("attempts", current.attempts);
            double& longest = outcome.facts["longest_gap_ms"];
            longest = std::max(longest, static_cast<double>(current.received.longest_gap.count()));
            check_invariant(outcome, invariant::no_token_missing, !current.log.finished || is_complete, now(),
                            "a finished answer has " + std::to_string(current.received.tokens.size()) +
                                " tokens");
        }
    }
};

} // namespace

run_outcome run_answer_world(const scenario& scenario_spec) {
    answer_world world(scenario_spec);
    world.prepare();
    world.network.clock.run_until(scenario_spec.duration);
    world.record_end_facts();
    return world.outcome;
}

} // namespace lovage::scenarios
