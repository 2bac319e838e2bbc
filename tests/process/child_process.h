#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lovage::testing {

/// A child process of a test, with its standard output and error in one log file. The destructor kills the
/// process by its id and waits for its end.
class child_process {
public:
    /// Starts `program` (a path, or the name of a binary in LOVAGE_BIN_DIR) with `arguments`. The log file
    /// is `<log_name>.log` in `log_folder()` and is appended to. Fails with `internal` if the
    /// program cannot be started.
    static result<std::unique_ptr<child_process>>
    start(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_name);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return m_pid; }
    const std::string& log_path() const { return m_log_path; }
    /// Returns what the process has logged so far.
    std::string log_text() const;

    /// Sends a signal such as SIGTERM; returns false if the process has ended.
    bool send_signal(int signal_number);
    /// Waits until the process ends. Returns the exit code, or 128 + the signal's number if a signal ended
    /// it, or nothing if `timeout` expires.
    std::optional<int> wait_for_exit(milliseconds timeout);
    bool is_running();
    /// Sends SIGTERM, and SIGKILL if the process still runs after `timeout`; returns the exit code as
    /// `wait_for_exit`. Resumes a process that was suspended by SIGSTOP.
    int stop(milliseconds timeout = milliseconds(5'000));

private:
    child_process(pid_t pid, int pid_descriptor, std::string log_path);

    pid_t m_pid;
    int m_pid_descriptor;
    std::string m_log_path;
    std::optional<int> m_exit_code;
};

/// Returns the directory of this test process's log files, below the system's temporary directory.
std::string log_folder();

/// Returns a port of 127.0.0.1 that was free for TCP and UDP at the time of the call, or 0 if there is none.
/// Ports are below the ephemeral range, so that outgoing connections do not take them. Each call tries the
/// next ports, so that calls in one process return different ones.
std::uint16_t free_port();

/// Returns "127.0.0.1:" and a free port, as `free_port`.
std::string free_address();

/// Polls `url` with GET until the status is 200; returns false if `timeout` expires first.
bool wait_until_ok(const std::string& url, milliseconds timeout = milliseconds(10'000));

} // namespace lovage::testing
