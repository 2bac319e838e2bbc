#include "lovage/traffic/generation_session.h"

#include <system_error>
#include <thread>
#include <utility>

namespace lovage {

namespace {

// Tokens that arrive within this time after the last message are sent as one batch.
constexpr milliseconds k_batch_delay{5};

} // namespace

generation_session::generation_session(node_id home, std::string region, generate_message message,
                                       session_ports ports)
    : m_ref(message.ref), m_spec(std::move(message.spec)), m_region(std::move(region)),
      m_accepted(message.accepted.size()), m_ports(std::move(ports)), m_home(std::move(home)),
      m_tokens(std::move(message.accepted)), m_sent(m_tokens.size()) {}

std::shared_ptr<generation_session>
generation_session::create(node_id home, std::string region, generate_message message, session_ports ports) {
    return std::shared_ptr<generation_session>(
        new generation_session(std::move(home), std::move(region), std::move(message), std::move(ports)));
}

bool generation_session::start() {
    {
        const std::lock_guard lock(m_mutex);
        if (m_phase != session_phase::queued) {
            return false;
        }
        m_phase = session_phase::running;
    }
    try {
        std::thread([self = shared_from_this()] { self->run(); }).detach();
        return true;
    } catch (const std::system_error&) {
        end(fail(error_kind::target_busy, "could not create a thread for the generation"));
        return false;
    }
}

void generation_session::run() {
    std::vector<token> accepted;
    {
        const std::lock_guard lock(m_mutex);
        accepted.assign(m_tokens.begin(), m_tokens.begin() + static_cast<std::ptrdiff_t>(m_accepted));
    }
    engine_stream stream;
    stream.on_token = [this](token_index /*index*/, const token& text) { return add_token(text); };
    stream.is_cancelled = [this] { return m_is_cancelled.load(); };
    end(m_ports.engine.generate(m_ref, m_spec, accepted, stream));
    m_ports.on_ended(shared_from_this());
}

bool generation_session::add_token(const token& text) {
    if (m_is_cancelled) {
        return false;
    }
    bool needs_flush = false;
    {
        const std::lock_guard lock(m_mutex);
        m_tokens.push_back(text);
        if (monotonic_now() - m_last_flush >= k_batch_delay) {
            flush_locked();
        } else if (!m_is_flush_requested) {
            m_is_flush_requested = true;
            needs_flush = true;
        }
    }
    ++*m_ports.tokens;
    if (needs_flush) {
        m_ports.request_flush(shared_from_this());
    }
    return true;
}

void generation_session::end(result<engine_finish> outcome) {
    const std::lock_guard lock(m_mutex);
    m_ended_at = monotonic_now();
    if (m_phase == session_phase::released) {
        return;
    }
    m_phase = session_phase::ended;
    m_outcome = std::move(outcome);
    flush_locked();
}

void generation_session::cancel() {
    m_is_cancelled = true;
    const std::lock_guard lock(m_mutex);
    m_phase = session_phase::released;
}

void generation_session::refuse(error reason) {
    const std::lock_guard lock(m_mutex);
    if (m_phase != session_phase::queued) {
        return;
    }
    m_phase = session_phase::ended;
    m_ended_at = monotonic_now();
    m_outcome = tl::unexpected<error>(std::move(reason));
    m_is_not_run = true;
    flush_locked();
}

void generation_session::flush() {
    const std::lock_guard lock(m_mutex);
    m_is_flush_requested = false;
    flush_locked();
}

void generation_session::flush_locked() {
    if (m_phase == session_phase::released || m_home_lost_at || m_is_end_sent) {
        return;
    }
    if (m_sent < m_tokens.size()) {
        tokens_message message;
        message.ref = m_ref;
        message.first = static_cast<token_index>(m_sent);
        message.tokens.assign(m_tokens.begin() + static_cast<std::ptrdiff_t>(m_sent), m_tokens.end());
        m_last_flush = monotonic_now();
        if (!m_ports.peer.send(m_home, message)) {
            m_ports.count("token_sends_refused_total", 1.0);
            return;
        }
        m_sent = m_tokens.size();
    }
    if (!m_outcome) {
        return;
    }
    if (*m_outcome) {
        m_is_end_sent =
            m_ports.peer.send(m_home, finished_message{m_ref, (*m_outcome)->total, (*m_outcome)->reason});
        return;
    }
    const error& failure = m_outcome->error();
    // With these errors the engine has refused the attempt before running it.
    const bool not_run =
        m_is_not_run || failure.kind == error_kind::target_busy || failure.kind == error_kind::no_target;
    m_is_end_sent =
        m_ports.peer.send(m_home, failed_message{m_ref, failure.kind, failure.detail, not_run,
                                                 static_cast<std::uint32_t>(failure.retry_after.count())});
}

session_phase generation_session::phase() const {
    const std::lock_guard lock(m_mutex);
    return m_phase;
}

std::optional<node_id> generation_session::home() const {
    const std::lock_guard lock(m_mutex);
    return m_home_lost_at ? std::nullopt : std::optional<node_id>(m_home);
}

token_index generation_session::next() const {
    const std::lock_guard lock(m_mutex);
    return static_cast<token_index>(m_tokens.size());
}

std::optional<time_point> generation_session::home_lost_at() const {
    const std::lock_guard lock(m_mutex);
    return m_home_lost_at;
}

std::optional<time_point> generation_session::ended_at() const {
    const std::lock_guard lock(m_mutex);
    return m_ended_at;
}

bool generation_session::is_settled() const {
    const std::lock_guard lock(m_mutex);
    // A failed attempt is not offered to a new home entry.
    const bool is_undeliverable_failure = m_outcome && !*m_outcome && m_home_lost_at;
    return m_phase == session_phase::released || m_is_end_sent || is_undeliverable_failure;
}

bool generation_session::mark_home_lost(const node_id& node, time_point now) {
    const std::lock_guard lock(m_mutex);
    if (m_offer && m_offer->node == node) {
        m_offer.reset();
    }
    if (m_home_lost_at || m_home != node) {
        return false;
    }
    m_home_lost_at = now;
    // The home entry may not have received the end.
    m_is_end_sent = false;
    return true;
}

void generation_session::offer(const node_id& node, time_point now, milliseconds retry_after) {
    const std::lock_guard lock(m_mutex);
    const bool is_recent = m_offer && m_offer->node == node && now - m_offer->at < retry_after;
    const bool has_failed = m_outcome && !*m_outcome;
    if (!m_home_lost_at || m_phase == session_phase::released || has_failed || is_recent) {
        return;
    }
    adopt_message message;
    message.ref = m_ref;
    message.spec = m_spec;
    message.tokens = m_tokens;
    message.finished = m_outcome.has_value();
    message.reason = m_outcome ? (*m_outcome)->reason : finish_reason::stop;
    // The entry may accept an earlier offer than this one. The tokens since the first offer are therefore
    // sent again; the entry drops repeated ones.
    const bool is_repeated = m_offer && m_offer->node == node;
    const std::size_t tokens = is_repeated ? m_offer->tokens : m_tokens.size();
    if (m_ports.peer.send(node, message)) {
        m_offer = adoption_offer{node, now, tokens};
        m_ports.count("adoption_offers_total", 1.0);
    }
}

bool generation_session::accept_home(const node_id& node) {
    const std::lock_guard lock(m_mutex);
    if (!m_offer || m_offer->node != node || m_phase == session_phase::released) {
        return false;
    }
    m_home = node;
    m_home_lost_at.reset();
    m_sent = m_offer->tokens;
    m_offer.reset();
    flush_locked();
    return true;
}

} // namespace lovage
