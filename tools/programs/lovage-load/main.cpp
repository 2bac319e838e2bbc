#include "ledger.h"
#include "options.h"
#include "report.h"
#include "session.h"
#include "workload.h"

#include "lovage/adapters/program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace {

using namespace lovage;
using namespace lovage::load;
namespace asio = boost::asio;

constexpr int k_exit_wrong_answers = 1;
constexpr int k_exit_incomplete = 3;

/// Starts the requests of a run and collects their records. While the run lasts, members are used only on one
/// strand.
class load_run {
public:
    load_run(asio::io_context& context, const load_options& options)
        : m_context(context), m_options(options), m_strand(asio::make_strand(context)), m_timer(m_strand),
          m_signals(m_strand, SIGINT, SIGTERM), m_random(options.seed) {}

    bool open_records() {
        if (!m_options.records_path.empty()) {
            m_records_file.open(m_options.records_path);
        }
        return m_options.records_path.empty() || m_records_file.is_open();
    }

    void start() {
        m_start = monotonic_now();
        m_due = m_start;
        m_signals.async_wait([this](const boost::system::error_code& code, int) {
            if (!code) {
                stop();
            }
        });
        asio::post(m_strand, [this] { start_due(); });
    }

    load_report take_report() { return std::move(m_report); }
    const std::vector<request_record>& records() const { return m_records; }
    time_point start_time() const { return m_start; }

private:
    bool may_start(time_point at) const {
        return !m_stopping && (m_options.requests == 0 || m_next < m_options.requests) &&
               (m_options.duration.count() == 0 || at < m_start + m_options.duration);
    }

    void start_due() {
        const auto now = monotonic_now();
        if (m_options.rate <= 0.0) {
            while (m_open.size() < m_options.concurrency && may_start(now)) {
                start_request(now);
            }
        } else {
            // Open loop: late requests are still started, and their latency counts from when they were due.
            for (; m_due <= now && may_start(m_due); m_due += next_gap()) {
                if (m_open.size() < m_options.concurrency) {
                    start_request(m_due);
                } else {
                    ++m_next;
                    ++m_report.not_started;
                }
            }
            if (may_start(m_due)) {
                m_timer.expires_at(m_due);
                m_timer.async_wait([this](const boost::system::error_code& code) {
                    if (!code) {
                        start_due();
                    }
                });
                return;
            }
        }
        if (m_open.empty()) {
            m_signals.cancel();
        }
    }

    time_point::duration next_gap() {
        const double seconds = std::exponential_distribution<>(m_options.rate)(m_random);
        return std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(seconds));
    }

    void start_request(time_point due) {
        const std::uint64_t number = m_next++;
        m_open[number] = request_session::start(
            m_context, m_options, plan_request(m_options, number), m_start, due,
            [this](request_record record) {
                asio::post(m_strand, [this, record = std::move(record)]() mutable { collect(record); });
            });
    }

    void collect(request_record& record) {
        m_open.erase(record.number);
        add(m_report, record, m_options);
        if (m_records_file.is_open()) {
            m_records_file << to_json(record).dump() << "\n";
        }
        // `add` copied the gaps into the report; the comparison with the ledgers does not need them.
        record.gaps_us = {};
        if (!m_options.ledgers.empty()) {
            m_records.push_back(record);
        }
        if (m_options.rate <= 0.0 || !may_start(m_due)) {
            start_due();
        }
    }

    void stop() {
        m_stopping = true;
        m_timer.cancel();
        for (const auto& [number, session] : m_open) {
            session->stop();
        }
    }

    asio::io_context& m_context;
    const load_options& m_options;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>,
                               asio::strand<asio::io_context::executor_type>>
        m_timer;
    asio::signal_set m_signals;
    std::mt19937_64 m_random;
    std::ofstream m_records_file;
    std::map<std::uint64_t, std::shared_ptr<request_session>> m_open;
    std::vector<request_record> m_records;
    load_report m_report;
    time_point m_start{};
    time_point m_due{};
    std::uint64_t m_next = 0;
    bool m_stopping = false;
};

bool has_wrong_answers(const load_report& report) {
    const ledger_findings& ledger = report.ledger;
    return report.wrong + ledger.ran_twice + ledger.not_run_but_ran + ledger.complete_but_not_run > 0;
}

int run(const load_options& options) {
    asio::io_context context;
    load_run run(context, options);
    if (!run.open_records()) {
        std::cerr << "lovage-load: cannot write " << options.records_path << "\n";
        return k_exit_usage;
    }
    run.start();
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < options.threads; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(monotonic_now() - run.start_time());
    load_report report = run.take_report();
    if (!options.ledgers.empty()) {
        // Calls whose responses were lost may still be running.
        std::this_thread::sleep_for(options.ledger_wait);
        const auto runs = read_ledgers(options.ledgers);
        if (!runs) {
            std::cerr << "lovage-load: " << runs.error().detail << "\n";
            return k_exit_failure;
        }
        report.ledger.was_read = true;
        for (const auto& record : run.records()) {
            compare_with_ledger(report.ledger, record, *runs);
        }
    }
    std::cout << to_json(report, options, elapsed).dump() << std::endl;
    if (has_wrong_answers(report)) {
        return k_exit_wrong_answers;
    }
    const bool is_complete =
        report.outcomes[static_cast<std::size_t>(outcome::complete)] == report.requests &&
        report.not_started == 0;
    return options.requires_completion && !is_complete ? k_exit_incomplete : k_exit_ok;
}

} // namespace

int main(int argc, const char** argv) {
    const auto line = read_options(argc, argv);
    if (!line) {
        std::cerr << "lovage-load: " << line.error().detail << "\n";
        return k_exit_usage;
    }
    if (line->prints_version) {
        std::cout << "lovage-load " << LOVAGE_VERSION << "\n";
        return k_exit_ok;
    }
    return run(line->options);
}
