#include "Fleet.h"

#include "FileError.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

#include <csignal>

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr auto startTimeout = std::chrono::seconds(10);
constexpr auto killTimeout = std::chrono::seconds(5);
constexpr std::size_t maxOutputLines = 20;

auto failure(std::size_t line, std::string message) -> leaf::error_id
{
    return leaf::new_error(ScenarioError { line, 0, std::move(message) });
}

auto invalidJson(std::size_t line, const std::string& key, const std::string& value) -> leaf::error_id
{
    return failure(line, "the value of " + key + " is not JSON: " + value);
}

auto programName(ProcessType type) -> std::string
{
    switch (type) {
    case ProcessType::Platform:
        return "standin-platform";
    case ProcessType::Engine:
        return "standin-engine";
    case ProcessType::Service:
        return "standin-service";
    case ProcessType::Link:
        return "standin-link";
    case ProcessType::Entry:
        return "jayhold-entry";
    }
    return {};
}

auto findEndpoint(const std::map<std::string, std::string>& listening, const std::string& key) -> HttpEndpoint
{
    const auto found = listening.find(key);
    return found == listening.end() ? HttpEndpoint {} : parseHttpEndpoint(found->second).value_or(HttpEndpoint {});
}

auto lastLines(const ChildProcess& child) -> std::string
{
    std::string text;
    const auto lines = child.output();
    for (auto index = lines.size() - std::min(lines.size(), maxOutputLines); index < lines.size(); ++index)
        text.append("\n    ").append(lines[index]);
    return text;
}

}

auto Fleet::start(const Statement& statement) -> leaf::result<void>
{
    const auto program = m_programs + "/" + programName(statement.process);
    const auto isEntry = statement.process == ProcessType::Entry;
    auto child = std::make_unique<ChildProcess>(program, commandLineArguments(statement), isEntry ? entrySettings(statement) : "");
    const auto listening = child->waitForListening(startTimeout);
    if (!listening)
        return failure(statement.line, statement.name + " did not start" + lastLines(*child));
    auto process = makeProcess(statement, *listening);
    process.child = std::move(child);
    m_processes.insert_or_assign(statement.name, std::move(process));
    return publishInstances(statement.line);
}

auto Fleet::makeProcess(const Statement& statement, const std::map<std::string, std::string>& listening) -> ScenarioProcess
{
    ScenarioProcess process;
    process.name = statement.name;
    process.type = statement.process;
    process.endpoint = findEndpoint(listening, "address");
    process.adminEndpoint = process.endpoint;
    process.advertisedEndpoint = process.endpoint;
    if (process.type == ProcessType::Link)
        process.adminEndpoint = findEndpoint(listening, "admin");
    if (process.type == ProcessType::Entry) {
        process.adminEndpoint = findEndpoint(listening, "peer_address");
        process.advertisedEndpoint = process.adminEndpoint;
        process.pool = "entry";
    }
    const auto option = [&](const std::string& key) {
        const auto found = statement.options.find(key);
        return found == statement.options.end() ? std::string() : found->second;
    };
    process.zone = option("zone");
    if (!option("pool").empty())
        process.pool = option("pool");
    // The instance list now advertises the link's address for its target.
    if (process.type == ProcessType::Link)
        m_processes.at(option("to")).advertisedEndpoint = process.endpoint;
    return process;
}

auto Fleet::commandLineArguments(const Statement& statement) const -> std::vector<std::string>
{
    if (statement.process == ProcessType::Entry)
        return { "--settings", "-" };
    std::vector<std::string> arguments { "--listen", "127.0.0.1:0" };
    if (statement.process == ProcessType::Engine || statement.process == ProcessType::Service)
        arguments.insert(arguments.end(), { "--id", statement.name });
    // KV transfers keep their simulated duration but send few bytes, which limits the load on the
    // machine.
    if (statement.process == ProcessType::Engine && !statement.options.contains("kv-transfer-cap-bytes"))
        arguments.insert(arguments.end(), { "--kv-transfer-cap-bytes", "65536" });
    for (const auto& [key, value] : statement.options) {
        if (key == "to")
            arguments.insert(arguments.end(), { "--target", toString(m_processes.at(value).endpoint) });
        else if (key != "zone" && key != "pool")
            arguments.insert(arguments.end(), { "--" + key, value });
    }
    return arguments;
}

auto Fleet::publishInstances(std::size_t line) -> leaf::result<void>
{
    json::array instances;
    const ScenarioProcess* platform = nullptr;
    for (const auto& [name, process] : m_processes) {
        if (process.type == ProcessType::Platform)
            platform = &process;
        if (process.pool.empty() || process.isRemoved)
            continue;
        instances.push_back(json::object { { "id", name }, { "address", toString(process.advertisedEndpoint) }, { "availability_zone", process.zone },
            { "pool", process.pool }, { "state", process.isLeaving ? "leaving" : "live" } });
    }
    if (!platform)
        return {};
    auto body = json::serialize(json::object { { "instances", std::move(instances) } });
    const auto response = m_client.call(platform->adminEndpoint, "PUT", "/admin/instances", std::move(body));
    if (response.status != 200)
        return failure(line, "the platform rejected the instance list: " + response.text);
    return {};
}

auto Fleet::kill(const Statement& statement) -> leaf::result<void>
{
    auto& process = m_processes.at(statement.name);
    process.isExitExpected = true;
    process.child->signal(SIGKILL);
    if (!process.child->waitForExit(killTimeout))
        return failure(statement.line, statement.name + " did not end");
    return {};
}

auto Fleet::stop(const Statement& statement) -> leaf::result<void>
{
    auto& process = m_processes.at(statement.name);
    process.isExitExpected = true;
    process.child->signal(SIGTERM);
    return {};
}

auto Fleet::freeze(const Statement& statement) -> leaf::result<void>
{
    auto& process = m_processes.at(statement.name);
    process.isFrozen = true;
    process.child->signal(SIGSTOP);
    return {};
}

auto Fleet::thaw(const Statement& statement) -> leaf::result<void>
{
    auto& process = m_processes.at(statement.name);
    process.isFrozen = false;
    process.child->signal(SIGCONT);
    return {};
}

auto Fleet::setFaults(const Statement& statement) -> leaf::result<void>
{
    json::object faults;
    for (const auto& [key, value] : statement.options) {
        boost::system::error_code code;
        faults[key] = json::parse(value, code);
        if (code)
            return invalidJson(statement.line, key, value);
    }
    const auto response = m_client.call(m_processes.at(statement.name).adminEndpoint, "PUT", "/admin/faults", json::serialize(faults));
    if (response.status != 200)
        return failure(statement.line, statement.name + " rejected the fault settings: " + response.text);
    return {};
}

auto Fleet::leave(const Statement& statement) -> leaf::result<void>
{
    m_processes.at(statement.name).isLeaving = true;
    return publishInstances(statement.line);
}

auto Fleet::remove(const Statement& statement) -> leaf::result<void>
{
    m_processes.at(statement.name).isRemoved = true;
    return publishInstances(statement.line);
}

auto Fleet::drain(const Statement& statement) -> leaf::result<void>
{
    auto& process = m_processes.at(statement.name);
    process.isExitExpected = true;
    const auto response = m_client.call(process.adminEndpoint, "POST", "/admin/v1/drain", {}, operatorHeaders());
    if (response.status / 100 != 2)
        return failure(statement.line, statement.name + " did not start to drain: " + response.text);
    return {};
}

auto Fleet::apply(const Statement& statement) -> leaf::result<void>
{
    BOOST_LEAF_AUTO(text, readFile(statement.file));
    auto headers = operatorHeaders();
    headers.push_back({ "If-Match", "\"0\"" });
    const auto response = m_client.call(m_processes.at(statement.name).adminEndpoint, "PUT", "/admin/v1/configuration", text, std::move(headers));
    if (response.status != statement.status)
        return failure(statement.line, "applying the configuration returned status " + std::to_string(response.status) + ": " + response.text);
    return {};
}

auto Fleet::updateExitStates() -> void
{
    for (auto& [name, process] : m_processes) {
        if (!process.hasEnded)
            process.hasEnded = process.child->waitForExit(Duration(0)).has_value();
    }
}

auto Fleet::respondingProcesses(ProcessType type) -> std::vector<const ScenarioProcess*>
{
    updateExitStates();
    std::vector<const ScenarioProcess*> result;
    for (const auto& [name, process] : m_processes) {
        if (process.type == type && !process.hasEnded && !process.isFrozen)
            result.push_back(&process);
    }
    return result;
}

auto Fleet::crashedProcesses() -> std::vector<const ScenarioProcess*>
{
    updateExitStates();
    std::vector<const ScenarioProcess*> result;
    for (const auto& [name, process] : m_processes) {
        if (process.hasEnded && !process.isExitExpected)
            result.push_back(&process);
    }
    return result;
}

}
