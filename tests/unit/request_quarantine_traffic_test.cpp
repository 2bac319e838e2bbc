#include "lovage/core/request_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

namespace lovage {

namespace {

constexpr milliseconds k_step{5};
constexpr milliseconds k_report_interval{50};
constexpr milliseconds k_run_time{60};
constexpr milliseconds k_time_to_crash{70};
constexpr milliseconds k_restart{3'500};
constexpr milliseconds k_duration{40'000};
constexpr std::size_t k_reported = 12;
constexpr double k_lost_reports = 0.02;
/// The rule: requests that have crashed three servers reach at most three more, later than the contact time
/// after the third.
constexpr milliseconds k_contact{3'000};
constexpr std::size_t k_free_crashes = 3;
constexpr int k_max_late_sends = 3;
/// Wrong refusals that the users' rules allow: 5, and one in 500.
constexpr int k_free_refusals = 5;
constexpr double k_max_refused_share = 1.0 / 500;

constexpr milliseconds k_never{0};

struct traffic_case {
    const char* name;
    double deadly_per_second;
    int max_attempts;
    int gateways;
    int servers;
    /// Share of the answers of sound requests that are lost.
    double lost_answers;
    /// Interval at which all servers lose power; `k_never` for none.
    milliseconds power_failures;
};

struct run {
    std::size_t gateway = 0;
    request_fingerprint request = 0;
    bool is_deadly = false;
    int attempt = 1;
    time_point started{};
};

struct server {
    int incarnation = 0;
    time_point up_from{};
    std::vector<run> runs;
};

struct outcome {
    std::vector<time_point> crashes;
    int late_sends = 0;
    int sound = 0;
    int sound_refused = 0;
};

// Gateways and plain servers in simulated time. Three in ten sound requests are one of five that come again
// and again; the deadly request is always the same.
class simulation {
public:
    simulation(const traffic_case& test, std::uint64_t seed)
        : m_test(test), m_random(seed), m_gateways(static_cast<std::size_t>(test.gateways)),
          m_servers(static_cast<std::size_t>(test.servers)) {}

    outcome play() {
        for (; m_now < k_start + k_duration; m_now += k_step) {
            end_runs();
            if (m_test.power_failures != k_never &&
                (m_now - k_start) % m_test.power_failures == milliseconds(0)) {
                for (auto& each : m_servers) {
                    end(each);
                }
            }
            arrive(m_test.deadly_per_second, true);
            arrive(k_sound_per_second, false);
            if ((m_now - k_start) % k_report_interval == milliseconds(0)) {
                exchange_reports();
            }
        }
        return m_outcome;
    }

private:
    static constexpr time_point k_start{std::chrono::seconds(1'000)};
    static constexpr double k_sound_per_second = 60;
    static constexpr request_fingerprint k_deadly = 1;
    static constexpr request_fingerprint k_first_hot = 10;
    static constexpr request_fingerprint k_first_unique = 1'000;

    int pick(std::size_t count) {
        return std::uniform_int_distribution<int>(0, static_cast<int>(count) - 1)(m_random);
    }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

    void arrive(double per_second, bool is_deadly) {
        const double mean = per_second * static_cast<double>(k_step.count()) / 1'000;
        for (int i = std::poisson_distribution<int>(mean)(m_random); i > 0; --i) {
            run next;
            next.gateway = static_cast<std::size_t>(pick(m_gateways.size()));
            next.is_deadly = is_deadly;
            next.request = k_deadly;
            if (!is_deadly) {
                next.request = chance(0.3) ? k_first_hot + static_cast<request_fingerprint>(pick(5))
                                           : k_first_unique + m_unique++;
                ++m_outcome.sound;
            }
            send(next);
        }
    }

    std::string id_of(const server& each) const {
        return std::to_string(&each - m_servers.data()) + "-" + std::to_string(each.incarnation);
    }

    bool may_run(const run& next) {
        auto& known = m_gateways[next.gateway];
        const auto assessment = assess_request(known, next.request);
        run_circumstances circumstances;
        circumstances.live_targets = static_cast<std::size_t>(
            std::count_if(m_servers.begin(), m_servers.end(), [&](const server& each) {
                return !was_lost_lately(known, id_of(each), 0, m_now);
            }));
        circumstances.is_first_to_retry = next.gateway == next.request % m_gateways.size();
        if (earliest_run(known, next.request, assessment, circumstances) > m_now) {
            return false;
        }
        if (assessment.verdict != request_verdict::clear) {
            record_trial(known, next.request, m_now);
        }
        return true;
    }

    void send(run next) {
        if (!may_run(next)) {
            m_outcome.sound_refused += next.is_deadly ? 0 : 1;
            return;
        }
        std::vector<server*> up;
        for (auto& each : m_servers) {
            if (each.up_from <= m_now) {
                up.push_back(&each);
            }
        }
        if (up.empty()) {
            return;
        }
        const auto& crashes = m_outcome.crashes;
        if (next.is_deadly && crashes.size() >= k_free_crashes &&
            m_now > crashes[k_free_crashes - 1] + k_contact) {
            ++m_outcome.late_sends;
        }
        next.started = m_now;
        up[static_cast<std::size_t>(pick(up.size()))]->runs.push_back(next);
    }

    void lose(const server& at, run lost) {
        record_loss(m_gateways[lost.gateway], {lost.request, id_of(at), 0, m_now, false}, m_now);
        if (lost.attempt < m_test.max_attempts) {
            ++lost.attempt;
            m_retries.push_back(lost);
        }
    }

    void end(server& lost) {
        for (const auto& each : std::exchange(lost.runs, {})) {
            lose(lost, each);
        }
        ++lost.incarnation;
        lost.up_from = m_now + k_restart;
    }

    void end_runs() {
        for (auto& each : m_servers) {
            const bool is_crashed = std::any_of(each.runs.begin(), each.runs.end(), [this](const run& run) {
                return run.is_deadly && m_now - run.started >= k_time_to_crash;
            });
            if (is_crashed) {
                m_outcome.crashes.push_back(m_now);
                end(each);
                continue;
            }
            const auto done =
                std::stable_partition(each.runs.begin(), each.runs.end(), [this](const run& run) {
                    return run.is_deadly || m_now - run.started < k_run_time;
                });
            const std::vector<run> finished(done, each.runs.end());
            each.runs.erase(done, each.runs.end());
            for (const auto& run : finished) {
                finish(each, run);
            }
        }
        for (const auto& each : std::exchange(m_retries, {})) {
            send(each);
        }
    }

    void finish(const server& at, const run& done) {
        if (chance(m_test.lost_answers)) {
            lose(at, done);
            return;
        }
        record_request_success(m_gateways[done.gateway], done.request, m_now);
        withdraw_losses(m_gateways[done.gateway], id_of(at), 0, done.started, m_now);
    }

    void exchange_reports() {
        for (auto& from : m_gateways) {
            for (auto& to : m_gateways) {
                if (&to == &from || chance(k_lost_reports)) {
                    continue;
                }
                for (const auto& loss : losses_to_report(from, k_reported)) {
                    record_loss(to, loss, m_now);
                }
                for (const auto& success : request_successes_to_report(from, k_reported)) {
                    record_request_success(to, success.request, success.at);
                }
            }
        }
    }

    const traffic_case& m_test;
    std::mt19937_64 m_random;
    time_point m_now{k_start};
    std::vector<request_quarantine> m_gateways;
    std::vector<server> m_servers;
    std::vector<run> m_retries;
    request_fingerprint m_unique = 0;
    outcome m_outcome;
};

// Guards against a request that ends server after server at all gateways, and against refusing sound requests
// that are lost beside it, with the power, or with their answers.
TEST_CASE("a deadly request is refused and sound ones beside it are not") {
    const auto test = GENERATE(from_range(std::vector<traffic_case>{
        {"publications", 3, 1, 3, 3, 0, k_never},
        {"reads", 1.2, 2, 3, 3, 0, k_never},
        {"rare reads", 0.1, 2, 3, 3, 0, k_never},
        {"frequent publications", 20, 1, 3, 3, 0, k_never},
        {"five attempts", 1.2, 5, 3, 3, 0, k_never},
        {"many servers", 3, 2, 3, 24, 0, k_never},
        {"many gateways", 6, 2, 38, 12, 0, k_never},
        {"one server", 3, 1, 3, 1, 0, k_never},
        {"lost answers", 3, 2, 3, 3, 0.03, k_never},
        {"many lost answers, none deadly", 0, 2, 3, 3, 0.3, k_never},
        {"power failures", 3, 2, 3, 3, 0, milliseconds(7'000)},
        {"power failures, none deadly", 0, 2, 3, 3, 0, milliseconds(5'000)},
    }));
    CAPTURE(test.name);
    int most_late_sends = 0;
    int sound = 0;
    int sound_refused = 0;
    std::size_t most_crashes = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        const auto result = simulation(test, seed).play();
        most_late_sends = std::max(most_late_sends, result.late_sends);
        most_crashes = std::max(most_crashes, result.crashes.size());
        sound += result.sound;
        sound_refused += result.sound_refused;
    }
    CAPTURE(most_crashes, sound, sound_refused);
    CHECK(most_late_sends <= k_max_late_sends);
    CHECK(sound_refused <= k_free_refusals + k_max_refused_share * sound);
}

} // namespace

} // namespace lovage
