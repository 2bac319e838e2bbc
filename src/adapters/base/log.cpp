#include "lovage/adapters/log.h"

#include "lovage/core/time.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace lovage {

namespace {

// Maximum number of lines that wait for the writer thread; at about 400 bytes per line they take 1.6 MB.
constexpr std::size_t k_queue_lines = 4'096;

std::atomic<std::uint64_t>& dropped_lines() {
    static std::atomic<std::uint64_t> lines{0};
    return lines;
}

// Drops lines when the queue is full, and counts them.
class counting_drop {
public:
    template <class Lock>
    static bool on_overflow(const boost::log::record_view& /*record*/, Lock& /*lock*/) {
        dropped_lines().fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

using backend_type = boost::log::sinks::text_ostream_backend;
using sink_type =
    boost::log::sinks::asynchronous_sink<backend_type,
                                         boost::log::sinks::bounded_fifo_queue<k_queue_lines, counting_drop>>;
using logger_type = boost::log::sources::severity_logger_mt<log_level>;

logger_type& logger() {
    static logger_type instance;
    return instance;
}

std::string& process_name() {
    static std::string name;
    return name;
}

boost::shared_ptr<sink_type>& sink() {
    static boost::shared_ptr<sink_type> instance;
    return instance;
}

} // namespace

void start_log(const std::string& process, log_level min_level) {
    namespace expressions = boost::log::expressions;
    process_name() = process;
    const auto backend = boost::make_shared<backend_type>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    sink() = boost::make_shared<sink_type>(backend);
    sink()->set_formatter(expressions::stream << expressions::smessage);
    boost::log::core::get()->add_sink(sink());
    boost::log::core::get()->set_filter(expressions::attr<log_level>("Severity") >= min_level);
}

void stop_log() {
    if (sink()) {
        boost::log::core::get()->remove_sink(sink());
        sink()->stop();
        sink()->flush();
        sink().reset();
    }
}

void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields) {
    nlohmann::ordered_json line;
    line["time_ms"] = wall_now().time_since_epoch().count();
    line["level"] = name_of(k_log_level_names, level);
    line["process"] = process_name();
    line["event"] = event;
    for (const auto& [key, value] : fields) {
        line[std::string(key)] = value;
    }
    BOOST_LOG_SEV(logger(), level) << line.dump(-1, ' ', false,
                                                nlohmann::ordered_json::error_handler_t::replace);
}

std::uint64_t dropped_log_lines() {
    return dropped_lines().load(std::memory_order_relaxed);
}

} // namespace lovage
