#pragma once

/// A process that the scenario runner started, with its output. It ends with this object.

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
    /// @param arguments without the program's name.
    /// @param input what the program reads from standard input.
    /// @throws std::system_error where the process can't be created.
    ChildProcess(const std::string& program, std::vector<std::string> arguments, const std::string& input);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    /// Waits for the line `event=listening ...`.
    /// @return its key=value pairs, or nothing where the process ends or the time is over.
    auto waitForListening(Duration timeout) -> std::optional<std::map<std::string, std::string>>;

    /// Waits for the end of the process.
    /// @return its exit code, negative for a signal; nothing where the time is over.
    auto waitForExit(Duration timeout) -> std::optional<int>;

    auto id() const -> pid_t { return m_pid; }

    /// Sends a signal; does nothing where the process has ended.
    auto signal(int number) -> void;

    /// @return the lines of standard output and standard error so far.
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
