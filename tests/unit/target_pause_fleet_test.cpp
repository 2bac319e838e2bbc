#include "support/fake_gateway.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovage {

namespace {

using testing::fake_gateway;

constexpr milliseconds k_step{5};
// Time between two new requests at one process, and the width of the intervals in which arrivals are counted.
constexpr milliseconds k_request_interval{100};
constexpr milliseconds k_bucket{50};

// Gateway processes in simulated time whose targets all refuse requests with a Retry-After until the same
// moment. Refused callers come back to their process after the time that they were told.
class paused_fleet {
public:
    paused_fleet(int processes, milliseconds pause) : m_pause(pause) {
        for (int i = 0; i < processes; ++i) {
            auto process = std::make_unique<state>();
            process->gateway.publish(request_kind::idempotent, 2, 3);
            process->gateway.traffic.random.seed(static_cast<unsigned>(i));
            process->next_request = k_request_interval * i / processes;
            m_processes.push_back(std::move(process));
        }
    }

    void run(milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += k_step) {
            for (auto& process : m_processes) {
                step(*process);
            }
            m_now += k_step;
        }
    }

    /// Requests at paused targets of the process that sent most of them: all, and those later than half a
    /// second after it was refused by the target.
    std::size_t most_refused = 0;
    std::size_t most_refused_late = 0;
    /// Requests that reached targets after the pause, by time since its end.
    std::map<milliseconds, std::size_t> arrivals;
    std::size_t sent = 0;

private:
    struct state {
        fake_gateway gateway;
        std::vector<std::shared_ptr<proxied_request>> requests;
        std::size_t seen_attempts = 0;
        std::size_t seen_replies = 0;
        milliseconds next_request{0};
        std::multimap<milliseconds, int> returns;
        std::map<std::string, milliseconds> refused_at;
        std::size_t refused = 0;
        std::size_t refused_late = 0;
    };

    void step(state& process) {
        auto& gateway = process.gateway;
        if (process.next_request <= m_now) {
            process.next_request += k_request_interval;
            process.requests.push_back(gateway.request());
            ++sent;
        }
        while (!process.returns.empty() && process.returns.begin()->first <= m_now) {
            process.returns.erase(process.returns.begin());
            process.requests.push_back(gateway.request());
        }
        gateway.advance(k_step);
        for (; process.seen_attempts < gateway.attempts.size(); ++process.seen_attempts) {
            const auto attempt = gateway.attempts[process.seen_attempts];
            play_target(process, *attempt);
        }
        for (; process.seen_replies < gateway.caller.replies.size(); ++process.seen_replies) {
            const auto& reply = gateway.caller.replies[process.seen_replies];
            process.returns.emplace(m_now + reply.retry_after, 0);
        }
    }

    void play_target(state& process, const testing::fake_attempt& attempt) {
        const auto& id = attempt.options.target_id;
        auto head = fake_gateway::head(m_now < m_pause ? 503 : 200);
        if (m_now < m_pause) {
            const auto [first, is_first] = process.refused_at.emplace(id, m_now);
            process.refused_late += !is_first && m_now - first->second > milliseconds(500) ? 1 : 0;
            most_refused = std::max(most_refused, ++process.refused);
            most_refused_late = std::max(most_refused_late, process.refused_late);
            head.is_not_run = true;
            head.pause = m_pause - m_now;
        } else {
            const auto since = m_now - m_pause;
            ++arrivals[since - since % k_bucket];
        }
        attempt.events.on_head(head);
        if (attempt.events.on_end) {
            attempt.events.on_end();
        }
    }

    const milliseconds m_pause;
    milliseconds m_now{0};
    std::vector<std::unique_ptr<state>> m_processes;
};

struct storm_case {
    const char* name;
    int processes;
    milliseconds pause;
};

// Guards against requests to paused targets that grow with the fleet or the pause, and against a fleet that
// returns to the targets at one moment: the requests of the pause come at most at twice their usual rate, in
// addition to the usual ones.
TEST_CASE("a fleet returns to paused targets without a burst") {
    const auto test = GENERATE(from_range(std::vector<storm_case>{
        {"a short pause, 38", 38, milliseconds(800)},
        {"a short pause, 300", 300, milliseconds(800)},
        {"a pause beyond the objective, 38", 38, milliseconds(4'000)},
        {"a pause beyond the objective, 300", 300, milliseconds(4'000)},
    }));
    CAPTURE(test.name);
    paused_fleet fleet(test.processes, test.pause);
    fleet.run(test.pause + milliseconds(6'000));
    CHECK(fleet.most_refused <= 3);
    CHECK(fleet.most_refused_late == 0);
    std::size_t most = 0;
    std::size_t all = 0;
    for (const auto& [since, count] : fleet.arrivals) {
        most = std::max(most, count);
        all += count;
    }
    const double per_bucket = static_cast<double>(test.processes) * static_cast<double>(k_bucket.count()) /
                              static_cast<double>(k_request_interval.count());
    CAPTURE(per_bucket, most, fleet.most_refused);
    CHECK(static_cast<double>(most) <= 3.0 * per_bucket);
    CHECK(all >= fleet.sent * 99 / 100);
}

} // namespace

} // namespace lovage
