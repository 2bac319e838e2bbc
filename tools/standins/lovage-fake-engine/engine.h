#pragma once

#include "faults.h"
#include "prefix_cache.h"
#include "token_stream.h"

#include "lovage/core/generation.h"
#include "lovage/core/messages.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "standins/fake_text.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lovage::standins {

/// Settings of the engine; they do not change while it runs.
struct engine_options {
    /// Name of the engine, sent to the weight store.
    std::string target;
    std::string role = "serving";
    /// Most generations that run at the same time, and most that wait for a slot.
    std::uint32_t slots = 32;
    std::uint32_t queue_limit = 32;
    /// Duration of one step: a base plus a part for each running sequence. A step generates one token of each
    /// running sequence.
    std::chrono::microseconds step_base{15'000};
    std::chrono::microseconds step_per_sequence{150};
    /// Prefill time of each prompt token that is not in the prefix cache, and the most prompt tokens that one
    /// step computes.
    std::chrono::microseconds prefill_per_token{50};
    std::uint32_t prefill_tokens_per_step = 256;
    /// Capacity of the prefix cache.
    std::size_t cache_blocks = 4'096;
    /// Interval of ping events on a stream until its first token.
    milliseconds ping_interval{500};
    /// Age of the load and of the newest cache events that the engine reports.
    milliseconds load_lag{200};
    milliseconds cache_event_lag{500};
    /// Fraction of cache events that are lost, between 0 and 1.
    double cache_event_gap = 0.02;
    /// Whether orders with a fencing number below the highest one seen are refused.
    bool checks_fencing = true;
    /// Time to load a version after its weights have been fetched.
    milliseconds load_time{1'000};
    /// Versions that are loaded at start.
    std::vector<loaded_version> loaded;
    std::uint64_t random_seed = 1;
};

/// A parsed request to /engine/generate.
struct engine_request {
    std::string request;
    std::string answer;
    attempt_number attempt = 0;
    loaded_version version;
    std::string prompt;
    /// Tokens that the caller already has from earlier attempts; the generation resumes after them.
    std::vector<token> accepted;
    std::uint32_t max_tokens = 0;
    std::uint64_t seed = 0;
    lovage::priority priority = lovage::priority::standard;
    std::string route;
};

/// Load of the engine at time `at`.
struct load_snapshot {
    time_point at{};
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::string role;
    std::vector<loaded_version> loaded;
};

/// A block that was added to the prefix cache or removed from it.
struct cache_event {
    time_point at{};
    std::uint64_t sequence = 0;
    /// Hash of the prompt prefix that ends with the block.
    std::uint64_t prefix = 0;
    cache_change change = cache_change::added;
};

/// Counters since the start of the process, reported by /stats.
struct engine_counts {
    std::uint64_t generations = 0;
    std::uint64_t resumed = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t tokens = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t cached_tokens = 0;
    /// Generations whose accepted tokens are not the deterministic text of their version.
    std::uint64_t accepted_mismatches = 0;
    std::uint64_t orders = 0;
    std::uint64_t stale_orders = 0;
};

/// Fetches the weights of a version from the platform; true on success. Blocks until the weight store has
/// sent them.
using weight_fetch = std::function<bool(const loaded_version&)>;

/// Simulates a model engine with continuous batching. The generated text is the deterministic function of
/// fake_text.h. One thread runs the step loop and another loads model versions. The public functions are
/// thread-safe and are called on the connections' threads.
class fake_engine {
public:
    fake_engine(engine_options options, engine_faults faults, weight_fetch fetch);
    ~fake_engine();
    /// Ends all streams and both threads; later calls of `generate` fail with `leaving`.
    void stop();
    fake_engine(const fake_engine&) = delete;
    fake_engine& operator=(const fake_engine&) = delete;

    /// Queues a generation and returns its output stream. Fails with `overloaded` if the queue is full or the
    /// `refuse` fault is set, `not_found` if the version is not loaded, and `internal` if the fault `error`
    /// of the version is active.
    result<std::shared_ptr<token_stream>> generate(engine_request request);
    /// Ends the streams of one attempt without a `done` event; returns how many streams it ended.
    std::size_t cancel(const std::string& request, const std::string& answer, attempt_number attempt);
    /// Ends a generation whose connection was closed.
    void cancel_stream(const std::shared_ptr<token_stream>& stream);
    /// Returns the load as it was `load_lag` ago.
    load_snapshot load();
    /// Returns the cache events from sequence number `since` on that are older than `cache_event_lag`, and
    /// the `since` of the next call.
    std::pair<std::vector<cache_event>, std::uint64_t> cache_events(std::uint64_t since);
    /// Applies an order of the control plane. Returns true if it is complete, false while the version is
    /// being loaded. Fails with `stale_fencing` if the fencing number is below the highest one seen.
    result<bool> order(const order_message& order);

    engine_faults faults();
    /// Changes the faults that the JSON object names and returns all of them. Fails with `invalid_request`.
    result<engine_faults> change_faults(const nlohmann::json& change);
    /// Blocks while the `pause` fault is active.
    void wait_while_paused();

    engine_counts counts();
    const engine_options& options() const { return m_options; }

private:
    /// A queued or running generation, also called a sequence, as in engines with continuous batching.
    struct generation;
    struct loaded_entry {
        loaded_version version;
        time_point since{};
    };

    void run_step_loop();
    void run_version_loader();
    void admit();
    void run_step(std::unique_lock<std::mutex>& lock);
    void advance_sequence(generation& sequence);
    void finish(generation& sequence);
    void emit_token(generation& sequence);
    void count_token_and_kill();
    bool is_faulty(const generation& sequence, version_fault fault) const;
    void remove_ended();
    const loaded_entry* find_loaded(const loaded_version& version) const;
    void record_load();
    void record_cache_changes(const std::vector<prefix_cache::change>& changes);
    std::size_t end_sequences(const std::function<bool(const generation&)>& matches);

    const engine_options m_options;
    const weight_fetch m_fetch;
    std::mutex m_mutex;
    std::condition_variable m_work_available;
    std::condition_variable m_stop_or_pause_changed;
    std::condition_variable m_load_requested;
    bool m_stopping = false;
    /// Whether a sequence has been marked as ended and `remove_ended` must run.
    bool m_has_ended = false;
    std::vector<std::unique_ptr<generation>> m_running;
    std::vector<std::unique_ptr<generation>> m_queued;
    std::vector<loaded_entry> m_loaded;
    std::deque<loaded_version> m_pending_loads;
    std::string m_role;
    fencing_number m_highest_fencing = 0;
    prefix_cache m_prefix_cache;
    std::deque<cache_event> m_cache_events;
    std::uint64_t m_next_cache_event = 1;
    std::deque<load_snapshot> m_load_history;
    engine_faults m_faults;
    time_point m_paused_until{};
    std::uint64_t m_tokens_until_kill = 0;
    engine_counts m_counts;
    std::mt19937_64 m_random;
    time_point m_step_end{};
    std::thread m_step_thread;
    std::thread m_load_thread;
};

} // namespace lovage::standins
