#include "LogParser.h"
#include "ParseNumber.h"
#include "SoakFleet.h"

#include <algorithm>

namespace jayhold::soak {

auto SoakFleet::runs() const -> std::vector<BackendRun>
{
    return backendRuns("run");
}

auto SoakFleet::rejections() const -> std::vector<BackendRun>
{
    return backendRuns("rejected");
}

auto SoakFleet::crashes() const -> std::vector<BackendRun>
{
    auto crashes = backendRuns("crashed");
    std::ranges::sort(crashes, {}, &BackendRun::at);
    return crashes;
}

auto SoakFleet::keyArrivals() const -> std::vector<BackendRun>
{
    return backendRuns("key_received");
}

auto SoakFleet::backendRuns(std::string_view event) const -> std::vector<BackendRun>
{
    auto lines = m_endedBackendOutput;
    for (const auto& backend : m_backends) {
        const auto output = backend.process->output();
        lines.insert(lines.end(), output.begin(), output.end());
    }
    for (const auto& backend : m_endlessBackends) {
        const auto output = backend.process->output();
        lines.insert(lines.end(), output.begin(), output.end());
    }
    return parseRuns(lines, event);
}

auto SoakFleet::parseRuns(std::span<const std::string> lines, std::string_view event) const -> std::vector<BackendRun>
{
    std::vector<BackendRun> runs;
    for (const auto& text : lines) {
        const auto line = parseLogLine(text);
        if (!line || line->event != event)
            continue;
        const auto at = parseNumber<TimePoint::rep>(line->field("at")).value_or(0);
        const auto backend = m_backendIndexes.find(line->field("replica"));
        const std::chrono::seconds retryDelay(parseNumber<int>(line->field("retry_after")).value_or(0));
        runs.push_back({ std::string(line->field("request")), std::string(line->field("replica")), line->field("stage") == "prefill", TimePoint(TimePoint::duration(at)),
            std::string(line->field("process")), backend == m_backendIndexes.end() ? m_backends.size() : backend->second, line->field("leaving") == "1", retryDelay, std::string(line->field("customer")) });
    }
    return runs;
}

auto SoakFleet::entryLogs() const -> std::vector<std::string>
{
    auto lines = m_endedEntryOutput;
    for (const auto& entry : m_entries) {
        const auto output = entry.process->output();
        lines.insert(lines.end(), output.begin(), output.end());
    }
    return lines;
}

}
