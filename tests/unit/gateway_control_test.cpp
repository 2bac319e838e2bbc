#include "lovage/control/gateway_control.h"

#include "documents.h"
#include "support/wait_until.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>

namespace lovage {

namespace {

// A store in which registrations are renewed all the time, so that each watch returns a change at once.
struct busy_store {
    std::atomic<std::uint64_t> revision{1};
    std::atomic<int> watches{0};
    std::atomic<int> full_reads{0};
    /// Without changes, the watcher thread reads again without a pause.
    std::atomic<bool> has_changes{true};
    /// Items that a full read returns.
    std::vector<std::pair<std::string, store_value>> items;

    store_port port() {
        store_port store;
        store.read_page = [this](const std::string&, const std::string&) -> result<store_page> {
            store_page page;
            ++full_reads;
            page.revision = revision;
            page.items = items;
            return page;
        };
        store.watch_prefix = [this](const std::string&, std::uint64_t,
                                    milliseconds) -> result<store_changes> {
            ++watches;
            store_changes changes;
            changes.revision = ++revision;
            if (has_changes) {
                changes.changes.push_back({"unrelated", store_value{"{}", changes.revision}});
            }
            return changes;
        };
        store.stop = [] {};
        return store;
    }
};

gateway_control_ports make_ports(busy_store& store) {
    gateway_control_ports ports;
    ports.store = store.port();
    ports.writes = store.port();
    ports.documents = platform::make_documents();
    // The limits allow an interval of many minutes, if there are enough peers.
    ports.freshness = {std::chrono::hours(9), std::chrono::hours(9), std::chrono::hours(9)};
    ports.publish = [](gateway_view_ptr) {};
    ports.log = [](const gateway_log&) {};
    return ports;
}

// Guards against a process that reads the store without a pause while registrations are renewed, and against
// one that waits although a peer has read a newer change.
TEST_CASE("an announced change makes the watcher thread read early, once") {
    busy_store store;
    const auto control = gateway_control::start(make_ports(store));
    control->set_live_peers(3'000);
    REQUIRE(wait_until([&] { return store.watches >= 1; }));
    const int before = store.watches;
    control->announce_revision(store.revision + 1);
    CHECK(wait_until([&] { return store.watches == before + 1; }));
    control->announce_revision(store.revision);
    CHECK_FALSE(wait_until([&] { return store.watches > before + 1; }, std::chrono::milliseconds(500)));
}

/// Holds up the threads that call `pass` while it is closed.
class gate {
public:
    void set_open(bool is_open) {
        {
            const std::lock_guard lock(m_mutex);
            m_is_open = is_open;
        }
        m_changed.notify_all();
    }
    void pass() {
        std::unique_lock lock(m_mutex);
        m_has_stopped_thread = !m_is_open;
        m_changed.wait(lock, [this] { return m_is_open; });
    }
    bool has_stopped_thread() {
        const std::lock_guard lock(m_mutex);
        return m_has_stopped_thread;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_open = true;
    bool m_has_stopped_thread = false;
};

// Guards against a process that never writes a rollout's progress again because the result of one write was
// lost while the control thread was held up.
TEST_CASE("the result of a write is not lost while the control thread is held up") {
    busy_store store;
    store.items = {{"op/rollout/s", {R"({"Service":"s","Target":"v2","DurationS":600})", 1}}};
    auto ports = make_ports(store);
    gate write_gate;
    gate control_gate;
    std::atomic<int> writes{0};
    write_gate.set_open(false);
    ports.writes.write_together = [&](const std::string&, std::uint64_t,
                                      const std::vector<store_put>&) -> result<std::uint64_t> {
        ++writes;
        write_gate.pass();
        return fail(error_kind::store_unavailable, "scripted");
    };
    ports.publish = [&](const gateway_view_ptr&) { control_gate.pass(); };
    const auto control = gateway_control::start(std::move(ports));
    control->set_live_peers(3'000);
    CHECK(control->post({}));
    CHECK(wait_until([&] { return writes == 1; }));
    control_gate.set_open(false);
    const int reads = store.full_reads;
    store.has_changes = false;
    control->announce_revision(store.revision + 1);
    CHECK(wait_until([&] { return control_gate.has_stopped_thread(); }));
    // The watcher thread reads everything again once the queue has no room for a change.
    CHECK(wait_until([&] { return store.full_reads > reads; }));
    write_gate.set_open(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    control_gate.set_open(true);
    CHECK(wait_until([&] { return writes >= 2; }));
}

} // namespace

} // namespace lovage
