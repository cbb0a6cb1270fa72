#include "RequestHistory.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace jayhold {

namespace {

/// Events this long before the first line of the request can still affect it: the maximum time for
/// which an instance ejects a backend server is of this order.
constexpr std::int64_t contextBeforeMicroseconds = 5'000'000;
constexpr std::int64_t contextAfterMicroseconds = 200'000;

/// Events that concern every request of an instance.
constexpr std::array<std::string_view, 10> instanceEvents { "store_lost", "store_connected", "store_history_gone", "store_restored", "configuration_in_force",
    "draining", "ready", "not_ready", "log_lines_left_out", "instances_counted" };

struct RefusalCause {
    std::string_view reason;
    std::string_view text;
};

constexpr std::array<RefusalCause, 15> refusalCauses { {
    { "overloaded", "it could not have been served by its deadline, given the work before it" },
    { "queue_full", "its customer had too many requests waiting" },
    { "no_backend", "no backend server could be reached, or all were busy" },
    { "too_large", "it needs more memory than any backend server has" },
    { "deadline_exceeded", "its deadline passed" },
    { "version_gone", "no decode engine of the software version that began the stream is left" },
    { "retries_exhausted", "its attempts failed, and no more are allowed" },
    { "crash_suspect", "backend servers that ran it crashed, at this or another instance" },
    { "draining", "the instance was shutting down" },
    { "no_configuration", "the instance had no configuration yet" },
    { "unknown_route", "no route has its host and path" },
    { "unknown_service", "its service was removed from the configuration" },
    { "records_unavailable", "its run could not be recorded, and it may run only once" },
    { "outcome_unknown", "an earlier attempt was sent and no answer came" },
    { "in_progress", "another call with its key was running" },
} };

/// @return the identifier without the attempt number that an engine's identifier ends with.
auto withoutAttempt(std::string_view request) -> std::string_view
{
    const auto dot = request.rfind('.');
    return request.find('/') == std::string_view::npos || dot == std::string_view::npos ? request : request.substr(0, dot);
}

auto isFailure(std::string_view event) -> bool
{
    return event.ends_with("_failed") || event == "seat_refused";
}

auto isFinalEvent(std::string_view event) -> bool
{
    return event == "request_finished" || event == "request_refused" || event == "request_cancelled" || event == "answer_not_taken";
}

auto outcomeOf(const ParsedLogLine& end) -> std::string
{
    if (end.event == "request_refused")
        return "refused: " + std::string(end.field("reason"));
    if (end.event == "request_cancelled")
        return "cancelled by its caller";
    if (end.event == "answer_not_taken")
        return "answered, but the caller did not accept the response";
    const auto status = end.field("status");
    return status.empty() ? "answered" : "answered with status " + std::string(status);
}

auto refusalCause(const ParsedLogLine& end) -> std::string
{
    const auto cause = std::ranges::find(refusalCauses, end.field("reason"), &RefusalCause::reason);
    auto text = cause == refusalCauses.end() ? std::string(end.field("detail")) : std::string(cause->text);
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
        if (isFinalEvent(event.line.event))
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

struct Context {
    std::set<std::string, std::less<>> instances;
    std::set<std::string, std::less<>> backends;
    std::int64_t from = 0;
    std::int64_t until = 0;
};

auto contextOf(std::span<const RequestEvent> own) -> Context
{
    Context context;
    for (const auto& event : own) {
        context.instances.insert(event.line.instance);
        for (const auto* key : { "backend", "decode_backend" }) {
            if (const auto backend = event.line.field(key); !backend.empty())
                context.backends.emplace(backend);
        }
        if (!event.line.time)
            continue;
        const auto time = event.line.time->wallMicroseconds;
        context.from = context.from == 0 ? time : std::min(context.from, time);
        context.until = std::max(context.until, time);
    }
    context.from -= contextBeforeMicroseconds;
    context.until += contextAfterMicroseconds;
    return context;
}

auto isContext(const ParsedLogLine& line, const Context& context) -> bool
{
    if (!line.time || !line.field("request").empty() || !context.instances.contains(line.instance))
        return false;
    const auto time = line.time->wallMicroseconds;
    if (time < context.from || time > context.until)
        return false;
    const auto backend = line.field("backend");
    return backend.empty() ? std::ranges::find(instanceEvents, line.event) != instanceEvents.end() : context.backends.contains(backend);
}

auto sortAndDeduplicate(std::vector<RequestEvent>& events) -> void
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
        if (withoutAttempt(line.field("request")) == withoutAttempt(request))
            history.events.push_back({ line, true });
    }
    const auto context = contextOf(history.events);
    for (const auto& line : lines) {
        if (isContext(line, context))
            history.events.push_back({ line, false });
    }
    sortAndDeduplicate(history.events);
    summarize(history);
    return history;
}

}
