#include "Stalls.h"

#include "LogParser.h"
#include "ParseNumber.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>

namespace jayhold::soak {

namespace {

auto inMilliseconds(Duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// @return the time on the steady clock, if the line has one on the system clock.
auto steadyTime(const ParsedLogLine& line) -> std::optional<TimePoint>
{
    if (!line.time)
        return std::nullopt;
    const auto systemNow = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    return monotonicNow() - (systemNow - Duration(line.time->wallMicroseconds));
}

auto lateness(const ParsedLogLine& line) -> Duration
{
    return std::chrono::milliseconds(parseNumber<std::int64_t>(line.field("late_ms")).value_or(0));
}

auto readWord(const std::filesystem::path& path) -> std::string
{
    std::string word;
    std::ifstream(path) >> word;
    return word;
}

}

auto entryStalls(std::span<const std::string> lines) -> std::vector<ProcessStall>
{
    std::vector<ProcessStall> stalls;
    for (const auto& text : lines) {
        const auto line = parseLogLine(text);
        const auto at = line && line->event == "loop_stalled" ? steadyTime(*line) : std::nullopt;
        if (at)
            stalls.push_back({ line->instance, *at, lateness(*line), line->fields });
    }
    return stalls;
}

auto standinStalls(const std::string& process, std::span<const std::string> lines) -> std::vector<ProcessStall>
{
    std::vector<ProcessStall> stalls;
    for (const auto& text : lines) {
        const auto line = parseLogLine(text);
        if (line && line->event == "loop_stalled")
            stalls.push_back({ process, TimePoint(Duration(parseNumber<TimePoint::rep>(line->field("at")).value_or(0))), lateness(*line), line->fields });
    }
    return stalls;
}

auto lineTimes(std::span<const std::string> lines) -> std::vector<LineTime>
{
    std::vector<LineTime> times;
    for (const auto& text : lines) {
        const auto line = parseLogLine(text);
        if (const auto at = line ? steadyTime(*line) : std::nullopt)
            times.push_back({ line->instance, *at });
    }
    return times;
}

auto describeStalls(std::span<const ProcessStall> stalls, std::span<const LineTime> lines, TimePoint from, TimePoint until) -> std::string
{
    std::string text;
    for (const auto& stall : stalls) {
        if (stall.until < from || stall.until - stall.length > until)
            continue;
        text += (text.empty() ? "" : ", ") + stall.process + " for " + inMilliseconds(stall.length) + " ms until " + inMilliseconds(stall.until - from) + " ms";
        for (const auto& field : stall.fields) {
            if (field.key == "cpu_ms" || field.key == "waited_ms")
                text += " " + field.key + "=" + field.value;
        }
    }
    if (text.empty())
        text = "no process (soak: 50 ms, others: 250 ms)";
    std::map<std::string, std::vector<TimePoint>, std::less<>> timesByInstance;
    for (const auto& line : lines) {
        auto& times = timesByInstance[line.instance];
        if (line.at >= from && line.at <= until)
            times.push_back(line.at);
    }
    for (auto& [instance, times] : timesByInstance) {
        times.push_back(from);
        times.push_back(until);
        std::ranges::sort(times);
        Duration longest {};
        for (std::size_t index = 1; index < times.size(); ++index)
            longest = std::max<Duration>(longest, times[index] - times[index - 1]);
        text += "; " + instance + " silent for " + inMilliseconds(longest) + " ms";
    }
    return text;
}

auto describeThreads(pid_t process) -> std::string
{
    constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
    std::string text;
    std::error_code ignored;
    for (const auto& thread : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task", ignored)) {
        // The name of the program, which has no spaces, and then the state.
        std::string id;
        std::string name;
        std::string state;
        std::ifstream(thread.path() / "stat") >> id >> name >> state;
        std::int64_t running = 0;
        std::int64_t waiting = 0;
        std::ifstream(thread.path() / "schedstat") >> running >> waiting;
        const auto times = " ran " + std::to_string(running / nanosecondsPerMillisecond) + " waited " + std::to_string(waiting / nanosecondsPerMillisecond);
        for (const auto& part : { " [" + id, " " + state, " " + readWord(thread.path() / "wchan"), times + "]" })
            text += part;
    }
    return text;
}

}
