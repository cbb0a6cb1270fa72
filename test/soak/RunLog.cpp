#include "RunLog.h"

#include "LogLine.h"

namespace jayhold::soak {

namespace {

auto inMilliseconds(Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}

auto describeRun(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults) -> std::vector<std::string>
{
    const auto systemNow = std::chrono::system_clock::now().time_since_epoch();
    const auto now = monotonicNow();
    std::vector<std::string> lines;
    const auto add = [&](TimePoint at, std::string_view event, std::initializer_list<LogField> fields) {
        const HybridTime time { std::chrono::duration_cast<std::chrono::microseconds>(systemNow - (now - at)).count() };
        lines.push_back(formatLogLine(time, event, std::span(fields.begin(), fields.size())));
    };
    for (const auto& call : calls) {
        const auto entry = "edge-" + std::to_string(call.entry);
        add(call.sentAt, "soak_call", { { "request", call.request }, { "entry", entry }, { "kind", static_cast<std::int64_t>(call.kind) }, { "resumes", call.resumes }, { "last_event", call.lastEvent }, { "parts", call.promptParts }, { "customer", call.identity.customer }, { "credentials", static_cast<std::int64_t>(call.identity.credentials) }, { "public", call.identity.isPublic } });
        add(call.endedAt, "soak_call_end", { { "request", call.request }, { "entry", entry }, { "status", static_cast<std::int64_t>(call.status) }, { "connected", call.wasConnected }, { "begun", call.hasBegun }, { "reset", call.wasReset }, { "events", static_cast<std::int64_t>(call.events.size()) }, { "ms", inMilliseconds(call.endedAt - call.sentAt) } });
    }
    for (const auto& run : runs)
        add(run.at, "soak_run", { { "request", run.request }, { "backend", run.backend }, { "prefill", run.isPrefill }, { "customer", run.customer }, { "retry_delay_ms", inMilliseconds(run.retryDelay) } });
    for (const auto& fault : faults) {
        const LogField field { "fault", describe(fault.fault) };
        add(fault.from, "soak_fault", { field });
        if (fault.until != TimePoint::max())
            add(fault.until, "soak_fault_end", { field });
    }
    return lines;
}

}
