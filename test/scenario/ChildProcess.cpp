#include "ChildProcess.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace jayhold {

namespace {

constexpr std::string_view listeningEvent = "event=listening";

auto throwOnError(int result, const char* operation) -> void
{
    if (result < 0)
        throw std::system_error(errno, std::generic_category(), operation);
}

/// Runs in the child between fork and exec, where only async-signal-safe functions are allowed.
[[noreturn]] auto runProgram(const char* program, char** arguments, int input, int output) -> void
{
    // Ends the child when the runner is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(input, STDIN_FILENO);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // Sockets of the runner that the child inherits would stay open after the runner has closed them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(program, arguments);
    _exit(127);
}

auto parseKeyValuePairs(const std::string& line) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> pairs;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos)
            pairs[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return pairs;
}

auto writeAll(int descriptor, std::string_view text) -> void
{
    while (!text.empty()) {
        const auto size = write(descriptor, text.data(), text.size());
        if (size <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(size));
    }
}

}

ChildProcess::ChildProcess(const std::string& program, std::vector<std::string> arguments, const std::string& input)
{
    std::array<int, 2> inputPipe {};
    std::array<int, 2> outputPipe {};
    throwOnError(pipe2(inputPipe.data(), O_CLOEXEC), "pipe2");
    throwOnError(pipe2(outputPipe.data(), O_CLOEXEC), "pipe2");
    arguments.insert(arguments.begin(), program);
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    m_pid = fork();
    throwOnError(m_pid, "fork");
    if (m_pid == 0)
        runProgram(program.c_str(), pointers.data(), inputPipe[0], outputPipe[1]);
    close(inputPipe[0]);
    close(outputPipe[1]);
    writeAll(inputPipe[1], input);
    close(inputPipe[1]);
    m_outputDescriptor = outputPipe[0];
    m_reader = std::thread([this] { readOutput(); });
}

ChildProcess::~ChildProcess()
{
    signal(SIGKILL);
    m_reader.join();
    reap(true);
    close(m_outputDescriptor);
}

auto ChildProcess::readOutput() -> void
{
    std::string pending;
    std::array<char, 4'096> buffer {};
    while (true) {
        const auto size = read(m_outputDescriptor, buffer.data(), buffer.size());
        if (size <= 0)
            break;
        pending.append(buffer.data(), static_cast<std::size_t>(size));
        const std::lock_guard guard(m_lock);
        std::size_t start = 0;
        for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n', start)) {
            m_lines.push_back(pending.substr(start, end - start));
            start = end + 1;
        }
        pending.erase(0, start);
        m_changed.notify_all();
    }
    const std::lock_guard guard(m_lock);
    m_hasEnded = true;
    m_changed.notify_all();
}

auto ChildProcess::waitForListening(Duration timeout) -> std::optional<std::map<std::string, std::string>>
{
    std::unique_lock guard(m_lock);
    std::size_t nextLine = 0;
    std::optional<std::map<std::string, std::string>> pairs;
    m_changed.wait_for(guard, timeout, [&] {
        for (; nextLine < m_lines.size() && !pairs; ++nextLine) {
            if (m_lines[nextLine].find(listeningEvent) != std::string::npos)
                pairs = parseKeyValuePairs(m_lines[nextLine]);
        }
        return pairs || m_hasEnded;
    });
    return pairs;
}

auto ChildProcess::waitForExit(Duration timeout) -> std::optional<int>
{
    {
        // The process has no children that keep the pipe open, so its output ends when it exits.
        std::unique_lock guard(m_lock);
        if (!m_changed.wait_for(guard, timeout, [&] { return m_hasEnded; }))
            return std::nullopt;
    }
    reap(true);
    return m_exitCode;
}

auto ChildProcess::reap(bool isBlocking) -> void
{
    if (m_exitCode)
        return;
    int status = 0;
    if (waitpid(m_pid, &status, isBlocking ? 0 : WNOHANG) != m_pid)
        return;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

auto ChildProcess::signal(int number) -> void
{
    // The kernel doesn't reuse the id before waitpid, so the signal can't reach another process.
    reap(false);
    if (!m_exitCode)
        kill(m_pid, number);
}

auto ChildProcess::output() const -> std::vector<std::string>
{
    const std::lock_guard guard(m_lock);
    return m_lines;
}

}
