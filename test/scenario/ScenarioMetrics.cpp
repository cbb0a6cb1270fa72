#include "ScenarioRunner.h"

#include "LogLine.h"
#include "LoggedEventJson.h"
#include "TextTable.h"
#include "Timeline.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <ostream>

namespace jayhold {

namespace json = boost::json;

namespace {

auto findNumber(const json::value& body, std::string_view key) -> std::optional<double>
{
    const auto* object = body.if_object();
    const auto* value = object ? object->if_contains(key) : nullptr;
    if (!value || !value->is_number())
        return std::nullopt;
    return value->to_number<double>();
}

auto sum(const std::vector<double>& values) -> double
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

auto maximum(const std::vector<double>& values) -> double
{
    return values.empty() ? 0 : *std::ranges::max_element(values);
}

/// @return the percentiles of a distribution as `p50/p95/p99`.
auto percentiles(const json::object& kind, std::string_view key) -> std::string
{
    const auto* values = kind.if_contains(key);
    if (!values)
        return "-";
    std::string text;
    for (const std::string_view percentile : { "p50", "p95", "p99" }) {
        const auto number = findNumber(*values, percentile).value_or(0);
        text += (text.empty() ? "" : "/") + std::to_string(std::lround(number));
    }
    return text;
}

/// Formats a load report as a table with a row for each kind of call and a total.
auto makeReportTable(const json::object& report) -> TextTable
{
    constexpr std::array<std::string_view, 9> counts { "sent", "whole", "cancelled", "not_run", "unknown", "lost", "wrong", "doubled", "within_targets" };
    TextTable table { { "kind" }, {} };
    table.header.insert(table.header.end(), counts.begin(), counts.end());
    table.header.insert(table.header.end(), { "first_token_ms", "token_gap_ms" });
    const auto addRow = [&](std::string name, const json::value& kind) {
        auto& row = table.rows.emplace_back();
        row.push_back(std::move(name));
        for (const auto count : counts)
            row.push_back(std::to_string(std::lround(findNumber(kind, count).value_or(0))));
        row.push_back(percentiles(kind.get_object(), "first_token_ms"));
        row.push_back(percentiles(kind.get_object(), "token_gap_ms"));
    };
    for (const auto& kind : report.at("items").get_object())
        addRow(std::string(kind.key()), kind.value());
    addRow("total", report.at("total"));
    return table;
}

/// Reads all events of an entry instance in pages.
auto readEvents(ScenarioClient& client, const HttpEndpoint& endpoint) -> std::vector<LoggedEvent>
{
    std::vector<LoggedEvent> events;
    while (true) {
        const auto after = events.empty() ? 0 : events.back().sequence;
        const auto response = client.call(endpoint, "GET", "/admin/v1/events?after=" + std::to_string(after), {}, Fleet::operatorHeaders());
        const auto* object = response.body.if_object();
        const auto* page = object ? object->if_contains("events") : nullptr;
        const auto before = events.size();
        if (page && page->is_array()) {
            for (const auto& item : page->get_array()) {
                if (auto event = loggedEventFromJson(item))
                    events.push_back(std::move(*event));
            }
        }
        if (events.size() == before)
            return events;
    }
}

}

auto ScenarioRunner::value(const Condition& condition) -> std::optional<double>
{
    if (!condition.process.empty())
        return processValue(condition);
    const auto fromFleet = fleetValue(condition.metric);
    if (!fromFleet)
        return loadValue(condition.metric);
    // A duplicated response, which the load reports, and a call that a service ran twice both
    // violate at-most-once execution.
    const auto isDoubled = condition.metric == "doubled";
    return *fromFleet + (isDoubled ? loadValue("doubled").value_or(0) : 0);
}

auto ScenarioRunner::processValue(const Condition& condition) -> std::optional<double>
{
    m_fleet.updateExitStates();
    const auto* process = m_fleet.find(condition.process);
    if (!process)
        return std::nullopt;
    if (condition.metric == "running")
        return process->hasEnded ? 0 : 1;
    if (process->hasEnded || process->isFrozen)
        return std::nullopt;
    if (process->type == ProcessType::Entry) {
        if (condition.metric == "ready")
            return m_fleet.client().get(process->endpoint, "/readyz").status == 200 ? 1 : 0;
        const auto status = m_fleet.client().call(process->adminEndpoint, "GET", "/admin/v1/status", {}, Fleet::operatorHeaders());
        return findNumber(status.body, condition.metric);
    }
    return findNumber(m_fleet.client().get(process->adminEndpoint, "/admin/counts").body, condition.metric);
}

auto ScenarioRunner::loadValue(const std::string& metric) const -> std::optional<double>
{
    std::optional<double> total;
    for (const auto& load : m_loads) {
        if (!load.report)
            continue;
        if (const auto number = findNumber(load.report->at("total"), metric))
            total = total.value_or(0) + *number;
    }
    return total;
}

auto ScenarioRunner::readCounts(ProcessType type, const std::string& key) -> std::vector<double>
{
    std::vector<double> values;
    for (const auto* process : m_fleet.respondingProcesses(type)) {
        if (const auto number = findNumber(m_fleet.client().get(process->adminEndpoint, "/admin/counts").body, key))
            values.push_back(*number);
    }
    return values;
}

auto ScenarioRunner::fleetValue(const std::string& metric) -> std::optional<double>
{
    if (metric == "held")
        return sum(readCounts(ProcessType::Engine, "held_pieces"));
    if (metric == "seats")
        return sum(readCounts(ProcessType::Engine, "seats_in_use"));
    if (metric == "decodes" || metric == "prefills")
        return sum(readCounts(ProcessType::Engine, metric));
    if (metric == "wasted_percent") {
        const auto prefilled = sum(readCounts(ProcessType::Engine, "tokens_prefilled"));
        return prefilled == 0 ? 0 : 100 * sum(readCounts(ProcessType::Engine, "tokens_never_decoded")) / prefilled;
    }
    if (metric == "doubled")
        return std::max(0.0, maximum(readCounts(ProcessType::Service, "largest_runs_by_key")) - 1);
    if (metric == "crashed")
        return static_cast<double>(m_fleet.crashedProcesses().size());
    if (metric == "ready") {
        return static_cast<double>(std::ranges::count_if(m_fleet.respondingProcesses(ProcessType::Entry),
            [&](const auto* entry) { return m_fleet.client().get(entry->endpoint, "/readyz").status == 200; }));
    }
    return std::nullopt;
}

auto ScenarioRunner::printLoadOutput(std::ostream& output) const -> void
{
    for (const auto& load : m_loads) {
        output << "output of the load:\n";
        for (const auto& line : load.child->output())
            output << "    " << line << '\n';
    }
}

auto ScenarioRunner::printSummary(std::ostream& output) -> void
{
    for (const auto& load : m_loads) {
        if (load.report)
            output << format(makeReportTable(*load.report)) << '\n';
    }
    constexpr std::array<std::string_view, 8> metrics { "goodput_per_second", "lost", "doubled", "wrong", "unknown", "wasted_percent", "held", "seats" };
    for (const auto metric : metrics) {
        if (const auto number = value({ .metric = std::string(metric) }))
            output << metric << '=' << *number << '\n';
    }
}

auto ScenarioRunner::printTimeline(std::ostream& output) -> void
{
    printLoadOutput(output);
    std::vector<std::vector<LoggedEvent>> logs;
    for (const auto* entry : m_fleet.respondingProcesses(ProcessType::Entry))
        logs.push_back(readEvents(m_fleet.client(), entry->adminEndpoint));
    for (const auto& event : mergeTimelines(logs)) {
        std::vector<LogField> fields { { "instance", event.instance } };
        fields.insert(fields.end(), event.fields.begin(), event.fields.end());
        output << formatLogLine(event.time, event.event, fields) << '\n';
    }
    for (const auto* process : m_fleet.crashedProcesses()) {
        output << "output of " << process->name << ", which exited unexpectedly:\n";
        for (const auto& line : process->child->output())
            output << "    " << line << '\n';
    }
}

}
