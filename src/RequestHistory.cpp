#include "RequestHistory.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace jayhold {

namespace {

/// Changes this long before the request's first line can still decide what happens to it: the longest
/// time for which an instance sets a backend server aside is of this order.
constexpr std::int64_t contextBeforeMicroseconds = 5'000'000;
constexpr std::int64_t contextAfterMicroseconds = 200'000;

/// Events that concern every request of an instance.
constexpr std::array<std::string_view, 9> instanceEvents { "store_lost", "store_connected", "store_history_gone", "configuration_in_force",
    "draining", "ready", "not_ready", "log_lines_left_out", "instances_counted" };

struct Meaning {
    std::string_view reason;
    std::string_view text;
};

constexpr std::array<Meaning, 14> meanings { {
    { "overloaded", "it could not have been served by its deadline, given the work before it" },
    { "queue_full", "its customer had too many requests waiting" },
    { "no_backend", "no backend server could be reached, or all were taken" },
    { "too_large", "it needs more memory than any backend server has" },
    { "deadline_exceeded", "its deadline passed" },
    { "retries_exhausted", "its attempts failed, and no more are allowed" },
    { "crash_suspect", "backend servers crashed that ran it, here or at another instance" },
    { "draining", "the instance was shutting down" },
    { "no_configuration", "the instance had no configuration yet" },
    { "unknown_route", "no route has its host and path" },
    { "unknown_service", "its service was removed from the configuration" },
    { "records_unavailable", "its run could not be recorded, and it may run only once" },
    { "outcome_unknown", "an earlier attempt was sent and no answer came" },
    { "in_progress", "another call with its key was running" },
} };

/// @return an engine's identifier without the number of the attempt.
auto stem(std::string_view request) -> std::string_view
{
    const auto dot = request.rfind('.');
    return request.find('/') == std::string_view::npos || dot == std::string_view::npos ? request : request.substr(0, dot);
}

auto isFailure(std::string_view event) -> bool
{
    return event.ends_with("_failed") || event == "seat_refused";
}

auto isEnd(std::string_view event) -> bool
{
    return event == "request_finished" || event == "request_refused" || event == "request_cancelled" || event == "answer_not_taken";
}

auto outcomeOf(const ParsedLogLine& end) -> std::string
{
    if (end.event == "request_refused")
        return "refused: " + std::string(end.field("reason"));
    if (end.event == "request_cancelled")
        return "left by its caller";
    if (end.event == "answer_not_taken")
        return "answered, but the caller did not take it";
    const auto status = end.field("status");
    return status.empty() ? "answered" : "answered with status " + std::string(status);
}

auto refusalCause(const ParsedLogLine& end) -> std::string
{
    const auto meaning = std::ranges::find(meanings, end.field("reason"), &Meaning::reason);
    auto text = meaning == meanings.end() ? std::string(end.field("detail")) : std::string(meaning->text);
    text += end.field("ran") == "no" ? "; it did not run" : "; it may have run";
    return text;
}

auto describeFailure(const ParsedLogLine& failure) -> std::string
{
    const auto detail = failure.field("detail");
    return std::string(failure.event) + " at " + std::string(failure.field("backend")) + ": " + std::string(detail.empty() ? failure.field("failure") : detail);
}

auto describeWait(const ParsedLogLine& placed) -> std::string
{
    const auto waited = placed.field("waited_ms");
    return waited.empty() || waited == "0" ? std::string() : "placed after " + std::string(waited) + " ms";
}

auto append(std::string& text, const std::string& part) -> void
{
    if (!part.empty())
        text += (text.empty() ? "" : "; ") + part;
}

auto summarize(RequestHistory& history) -> void
{
    const ParsedLogLine* end = nullptr;
    const ParsedLogLine* failure = nullptr;
    const ParsedLogLine* placed = nullptr;
    std::size_t failures = 0;
    for (const auto& event : history.events) {
        if (!event.namesRequest)
            continue;
        if (isEnd(event.line.event))
            end = &event.line;
        if (event.line.event == "request_placed" && !placed)
            placed = &event.line;
        if (isFailure(event.line.event)) {
            failure = &event.line;
            ++failures;
        }
    }
    if (history.events.empty()) {
        history.outcome = "not in these logs";
        return;
    }
    history.outcome = end ? outcomeOf(*end) : "no end is logged: the process was killed, or these logs end before it";
    if (end && end->event == "request_refused")
        append(history.cause, refusalCause(*end));
    if (failure)
        append(history.cause, std::to_string(failures) + (failures == 1 ? " failure: " : " failures, the last: ") + describeFailure(*failure));
    if (placed)
        append(history.cause, describeWait(*placed));
}

struct Surroundings {
    std::set<std::string, std::less<>> instances;
    std::set<std::string, std::less<>> backends;
    std::int64_t from = 0;
    std::int64_t until = 0;
};

auto surroundingsOf(std::span<const RequestEvent> own) -> Surroundings
{
    Surroundings around;
    for (const auto& event : own) {
        around.instances.insert(event.line.instance);
        for (const auto* key : { "backend", "decode_backend" }) {
            if (const auto backend = event.line.field(key); !backend.empty())
                around.backends.emplace(backend);
        }
        if (!event.line.time)
            continue;
        const auto time = event.line.time->wallMicroseconds;
        around.from = around.from == 0 ? time : std::min(around.from, time);
        around.until = std::max(around.until, time);
    }
    around.from -= contextBeforeMicroseconds;
    around.until += contextAfterMicroseconds;
    return around;
}

auto surrounds(const ParsedLogLine& line, const Surroundings& around) -> bool
{
    if (!line.time || !line.field("request").empty() || !around.instances.contains(line.instance))
        return false;
    const auto time = line.time->wallMicroseconds;
    if (time < around.from || time > around.until)
        return false;
    const auto backend = line.field("backend");
    return backend.empty() ? std::ranges::find(instanceEvents, line.event) != instanceEvents.end() : around.backends.contains(backend);
}

auto sortAndJoin(std::vector<RequestEvent>& events) -> void
{
    const auto key = [](const RequestEvent& event) {
        return std::tuple(!event.line.time, event.line.time.value_or(HybridTime {}), std::string_view(event.line.instance), std::string_view(event.line.event));
    };
    std::ranges::stable_sort(events, {}, key);
    const auto rest = std::unique(events.begin(), events.end(), [&](const RequestEvent& left, const RequestEvent& right) {
        const auto isSame = [](const LogField& one, const LogField& other) { return one.key == other.key && one.value == other.value; };
        return left.line.time && key(left) == key(right) && std::ranges::equal(left.line.fields, right.line.fields, isSame);
    });
    events.erase(rest, events.end());
}

}

auto explainRequest(std::span<const ParsedLogLine> lines, std::string_view request) -> RequestHistory
{
    RequestHistory history;
    for (const auto& line : lines) {
        if (stem(line.field("request")) == stem(request))
            history.events.push_back({ line, true });
    }
    const auto around = surroundingsOf(history.events);
    for (const auto& line : lines) {
        if (surrounds(line, around))
            history.events.push_back({ line, false });
    }
    sortAndJoin(history.events);
    summarize(history);
    return history;
}

}
