#pragma once

/// The processes of a scenario. Starts them, registers them with the platform and configures their
/// faults.

#include "ScenarioClient.h"
#include "ScenarioError.h"
#include "ScenarioProcess.h"

#include <boost/leaf/result.hpp>

#include <map>

namespace jayhold {

class Fleet {
public:
    /// @param programs directory of the programs.
    explicit Fleet(std::string programs)
        : m_programs(std::move(programs))
    {
    }

    /// Starts a process, waits until it listens and updates the instance list.
    auto start(const Statement& statement) -> boost::leaf::result<void>;
    auto kill(const Statement& statement) -> boost::leaf::result<void>;
    /// Sends SIGTERM to a process without waiting for its exit.
    auto stop(const Statement& statement) -> boost::leaf::result<void>;
    auto freeze(const Statement& statement) -> boost::leaf::result<void>;
    auto thaw(const Statement& statement) -> boost::leaf::result<void>;
    auto setFaults(const Statement& statement) -> boost::leaf::result<void>;
    auto leave(const Statement& statement) -> boost::leaf::result<void>;
    auto remove(const Statement& statement) -> boost::leaf::result<void>;
    auto drain(const Statement& statement) -> boost::leaf::result<void>;
    /// Applies the first configuration. The call has If-Match "0", so it conflicts with any active
    /// configuration.
    auto apply(const Statement& statement) -> boost::leaf::result<void>;

    auto find(const std::string& name) const -> const ScenarioProcess* { return m_processes.contains(name) ? &m_processes.at(name) : nullptr; }
    /// Records which processes have exited.
    auto updateExitStates() -> void;
    /// @return the processes of a type that run and aren't frozen.
    auto respondingProcesses(ProcessType type) -> std::vector<const ScenarioProcess*>;
    /// @return the processes that exited although the scenario did not end them.
    auto crashedProcesses() -> std::vector<const ScenarioProcess*>;

    /// @return the headers that authenticate an operator's call.
    static auto operatorHeaders() -> std::vector<HttpHeader>;
    auto client() -> ScenarioClient& { return m_client; }
    auto programs() const -> const std::string& { return m_programs; }

private:
    auto publishInstances(std::size_t line) -> boost::leaf::result<void>;
    auto entrySettings(const Statement& statement) const -> std::string;
    auto commandLineArguments(const Statement& statement) const -> std::vector<std::string>;
    auto makeProcess(const Statement& statement, const std::map<std::string, std::string>& listening) -> ScenarioProcess;

    const std::string m_programs;
    ScenarioClient m_client;
    std::map<std::string, ScenarioProcess> m_processes;
};

}
