#include "ScenarioRunner.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <thread>

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

/// Time after the duration of a load in which its last responses must arrive.
constexpr auto loadEndTimeout = std::chrono::seconds(60);
constexpr auto conditionPollInterval = std::chrono::milliseconds(10);
constexpr std::string_view configurationSuffix = ".json";

auto failure(std::size_t line, std::string message) -> leaf::error_id
{
    return leaf::new_error(ScenarioError { line, 0, std::move(message) });
}

/// @return the load mix of a configuration, such as examples/caprock-load.json for
/// examples/caprock.json.
auto loadMixPath(std::string configuration) -> std::string
{
    if (configuration.ends_with(configurationSuffix))
        configuration.resize(configuration.size() - configurationSuffix.size());
    return configuration + "-load.json";
}

/// @return the JSON report at the end of the output. The lines before it are log lines.
auto parseReport(const std::vector<std::string>& lines) -> std::optional<json::object>
{
    const auto start = std::ranges::find(lines, "{");
    std::string text;
    for (auto line = start; line != lines.end(); ++line)
        text += *line + '\n';
    boost::system::error_code code;
    auto parsed = json::parse(text, code);
    if (code || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.get_object());
}

}

auto ScenarioRunner::run(std::span<const Statement> statements) -> leaf::result<void>
{
    for (const auto& statement : statements) {
        if (statement.at)
            std::this_thread::sleep_until(m_loadStart + *statement.at);
        BOOST_LEAF_CHECK(execute(statement));
    }
    return waitForLoads(0);
}

auto ScenarioRunner::execute(const Statement& statement) -> leaf::result<void>
{
    switch (statement.type) {
    case StatementType::Start:
        return m_fleet.start(statement);
    case StatementType::Apply:
        m_lastConfiguration = statement.file;
        return m_fleet.apply(statement);
    case StatementType::Load:
        return startLoad(statement);
    case StatementType::Kill:
        return m_fleet.kill(statement);
    case StatementType::Stop:
        return m_fleet.stop(statement);
    case StatementType::Freeze:
        return m_fleet.freeze(statement);
    case StatementType::Thaw:
        return m_fleet.thaw(statement);
    case StatementType::Fault:
        return m_fleet.setFaults(statement);
    case StatementType::Leave:
        return m_fleet.leave(statement);
    case StatementType::Remove:
        return m_fleet.remove(statement);
    case StatementType::Drain:
        return m_fleet.drain(statement);
    case StatementType::Wait:
        std::this_thread::sleep_for(statement.duration);
        return {};
    case StatementType::WaitUntil:
        return checkCondition(statement);
    case StatementType::WaitForLoad:
        return waitForLoads(statement.line);
    case StatementType::Expect:
        return expect(statement);
    }
    return {};
}

auto ScenarioRunner::startLoad(const Statement& statement) -> leaf::result<void>
{
    const auto mix = statement.file.empty() ? loadMixPath(m_lastConfiguration) : statement.file;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(statement.duration).count();
    std::vector<std::string> arguments { "--mix", mix, "--rate", std::to_string(statement.rate), "--duration-ms", std::to_string(milliseconds),
        "--retry", statement.isRetrying ? "1" : "0", "--seed", std::to_string(m_loads.size() + 1), "--json", "-" };
    for (const auto* entry : m_fleet.respondingProcesses(ProcessType::Entry)) {
        const auto isUsed = statement.entries.empty() || std::ranges::find(statement.entries, entry->name) != statement.entries.end();
        if (isUsed)
            arguments.insert(arguments.end(), { "--entry", toString(entry->endpoint) });
    }
    m_loadStart = monotonicNow();
    auto child = std::make_unique<ChildProcess>(m_fleet.programs() + "/jayhold-load", std::move(arguments), "");
    m_loads.push_back({ std::move(child), m_loadStart, statement.duration, {} });
    return {};
}

auto ScenarioRunner::waitForLoads(std::size_t line) -> leaf::result<void>
{
    for (auto& load : m_loads) {
        if (load.report)
            continue;
        const auto end = load.startedAt + load.duration + loadEndTimeout;
        const auto code = load.child->waitForExit(std::max(Duration(0), end - monotonicNow()));
        load.report = code ? parseReport(load.child->output()) : std::nullopt;
        if (!load.report) {
            std::string output;
            for (const auto& text : load.child->output())
                output += "\n    " + text;
            return failure(line, "the load did not end with a report" + output);
        }
    }
    return {};
}

auto ScenarioRunner::expect(const Statement& statement) -> leaf::result<void>
{
    // The metrics are final only when all loads have ended. `wait until` checks them while loads
    // run.
    BOOST_LEAF_CHECK(waitForLoads(statement.line));
    return checkCondition(statement);
}

auto ScenarioRunner::checkCondition(const Statement& statement) -> leaf::result<void>
{
    const auto& condition = statement.condition;
    const auto end = monotonicNow() + condition.within.value_or(Duration(0));
    while (true) {
        const auto actual = value(condition);
        if (actual && holds(condition, *actual))
            return {};
        if (monotonicNow() >= end) {
            const auto shown = actual ? std::to_string(*actual) : std::string("unavailable");
            return failure(statement.line, "expected " + toString(condition) + ", the value is " + shown);
        }
        std::this_thread::sleep_for(conditionPollInterval);
    }
}

}
