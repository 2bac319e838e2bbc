#include "process/child_process.h"

#include "lovage/adapters/http_client.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace lovage::testing {

namespace {

constexpr std::uint16_t k_first_port = 10'000;
// Linux picks ephemeral ports from 32768 upwards by default.
constexpr std::uint16_t k_port_count = 22'000;

bool can_bind(int type, std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return bound;
}

std::string program_path(const std::string& program) {
    return program.find('/') == std::string::npos ? std::string(LOVAGE_BIN_DIR) + "/" + program : program;
}

int exit_code_of(int status) {
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace

child_process::child_process(pid_t pid, int pid_descriptor, std::string log_path)
    : m_pid(pid), m_pid_descriptor(pid_descriptor), m_log_path(std::move(log_path)) {}

result<std::unique_ptr<child_process>> child_process::start(const std::string& program,
                                                            const std::vector<std::string>& arguments,
                                                            const std::string& log_name) {
    const std::string path = program_path(program);
    const std::string log_path = log_folder() + "/" + log_name + ".log";
    std::vector<std::string> all_arguments{path};
    all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    for (auto& argument : all_arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int spawn_error = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawn_error != 0) {
        return fail(error_kind::internal, "cannot start " + path + ": " + std::strerror(spawn_error));
    }
    const int descriptor = static_cast<int>(::syscall(SYS_pidfd_open, pid, 0));
    if (descriptor < 0) {
        const int reason = errno;
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        return fail(error_kind::internal,
                    std::string("cannot open a pidfd for ") + path + ": " + std::strerror(reason));
    }
    return std::unique_ptr<child_process>(new child_process(pid, descriptor, log_path));
}

child_process::~child_process() {
    if (!m_exit_code) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    ::close(m_pid_descriptor);
}

std::string child_process::log_text() const {
    std::ifstream file(m_log_path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool child_process::send_signal(int signal_number) {
    // An ended process keeps its id until it is waited for, so the signal cannot reach another process.
    return is_running() && ::kill(m_pid, signal_number) == 0;
}

std::optional<int> child_process::wait_for_exit(milliseconds timeout) {
    if (m_exit_code) {
        return m_exit_code;
    }
    const auto deadline = monotonic_now() + timeout;
    while (true) {
        const auto remaining = std::chrono::ceil<milliseconds>(deadline - monotonic_now());
        pollfd waited{m_pid_descriptor, POLLIN, 0};
        const int ready = ::poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(remaining.count(), 0)));
        if (ready > 0) {
            int status = 0;
            ::waitpid(m_pid, &status, 0);
            m_exit_code = exit_code_of(status);
            return m_exit_code;
        }
        if (ready == 0 || errno != EINTR) {
            return std::nullopt;
        }
    }
}

bool child_process::is_running() {
    return !wait_for_exit(milliseconds(0)).has_value();
}

int child_process::stop(milliseconds timeout) {
    send_signal(SIGTERM);
    // A process that is suspended by SIGSTOP handles SIGTERM only after SIGCONT.
    send_signal(SIGCONT);
    if (const auto exit_code = wait_for_exit(timeout)) {
        return *exit_code;
    }
    send_signal(SIGKILL);
    return wait_for_exit(milliseconds(10'000)).value_or(128 + SIGKILL);
}

std::string log_folder() {
    static const std::string folder = [] {
        const auto path =
            std::filesystem::temp_directory_path() / ("lovage-process-" + std::to_string(::getpid()));
        std::filesystem::create_directories(path);
        return path.string();
    }();
    return folder;
}

std::uint16_t free_port() {
    // Test processes that run in parallel start at different ports.
    static std::atomic<std::uint32_t> next{static_cast<std::uint32_t>(::getpid()) * 97U};
    for (std::uint32_t tries = 0; tries < k_port_count; ++tries) {
        const auto port = static_cast<std::uint16_t>(k_first_port + next++ % k_port_count);
        if (can_bind(SOCK_STREAM, port) && can_bind(SOCK_DGRAM, port)) {
            return port;
        }
    }
    return 0;
}

std::string free_address() {
    return "127.0.0.1:" + std::to_string(free_port());
}

bool wait_until_ok(const std::string& url, milliseconds timeout) {
    const auto deadline = monotonic_now() + timeout;
    while (monotonic_now() < deadline) {
        http_client_request request;
        request.url = url;
        const auto answer = http_send(request);
        if (answer && answer->status == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

} // namespace lovage::testing
