#pragma once

/// A child process of the scenario runner or the soak, with its output. The destructor kills it.

#include "Time.h"

#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jayhold {

class ChildProcess {
public:
    /// Starts a program.
    /// @param arguments the command line without the program's name.
    /// @param input the content of the program's standard input.
    /// @throws std::system_error if the process can't be created.
    ChildProcess(const std::string& program, std::vector<std::string> arguments, const std::string& input);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    /// Waits for the log line `event=listening ...`.
    /// @return its key=value pairs, or nothing if the process ends or the timeout expires first.
    auto waitForListening(Duration timeout) -> std::optional<std::map<std::string, std::string>>;

    /// Waits until the process exits.
    /// @return its exit code, the negative signal number if a signal ended it, or nothing if the
    /// timeout expires.
    auto waitForExit(Duration timeout) -> std::optional<int>;

    auto id() const -> pid_t { return m_pid; }

    /// Sends a signal. Does nothing if the process has exited.
    auto signal(int number) -> void;

    /// @return the lines that the process has written to standard output and standard error.
    auto output() const -> std::vector<std::string>;

private:
    auto readOutput() -> void;
    auto reap(bool isBlocking) -> void;

    pid_t m_pid = -1;
    int m_outputDescriptor = -1;
    mutable std::mutex m_lock;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    bool m_hasEnded = false;
    std::optional<int> m_exitCode;
    std::thread m_reader;
};

}
