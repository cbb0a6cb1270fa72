#pragma once

/// Runs the statements of a scenario sequentially with real processes.

#include "Fleet.h"
#include "LoadRun.h"

#include <span>

namespace jayhold {

class ScenarioRunner {
public:
    /// @param programs directory of the programs.
    explicit ScenarioRunner(std::string programs)
        : m_fleet(std::move(programs))
        , m_loadStart(monotonicNow())
    {
    }

    /// @return success, or ScenarioError or FileError for the first statement that failed.
    auto run(std::span<const Statement> statements) -> boost::leaf::result<void>;

    /// Prints the reports of the loads and a summary of the metrics.
    auto printSummary(std::ostream& output) -> void;

    /// Prints the output of the loads, the events of the responding entry instances in causal
    /// order, and the output of processes that crashed.
    auto printTimeline(std::ostream& output) -> void;

private:
    auto printLoadOutput(std::ostream& output) const -> void;
    auto execute(const Statement& statement) -> boost::leaf::result<void>;
    auto startLoad(const Statement& statement) -> boost::leaf::result<void>;
    auto waitForLoads(std::size_t line) -> boost::leaf::result<void>;
    auto expect(const Statement& statement) -> boost::leaf::result<void>;
    auto checkCondition(const Statement& statement) -> boost::leaf::result<void>;

    /// @return the metric's value, or nothing if the metric is unknown or can't be read now.
    auto value(const Condition& condition) -> std::optional<double>;
    auto processValue(const Condition& condition) -> std::optional<double>;
    auto loadValue(const std::string& metric) const -> std::optional<double>;
    auto fleetValue(const std::string& metric) -> std::optional<double>;
    auto readCounts(ProcessType type, const std::string& key) -> std::vector<double>;

    Fleet m_fleet;
    std::vector<LoadRun> m_loads;
    TimePoint m_loadStart;
    std::string m_lastConfiguration;
};

}
