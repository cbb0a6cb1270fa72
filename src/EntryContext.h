#pragma once

/// What the parts of an entry instance share.

#include "BackendProtocol.h"
#include "CallerProtocol.h"
#include "CrashSuspect.h"
#include "EntrySettings.h"
#include "EventLog.h"
#include "IoThreads.h"
#include "Metrics.h"
#include "Time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jayhold {

struct EntryContext {
    const EntrySettings& settings;
    IoThreads& threads;
    EventLog& log;
    Metrics metrics;
    /// Unique to this run of the process, because a restarted instance may keep its name.
    std::string runId;
    std::atomic<bool> isDraining { false };
    /// Whether a list with backend servers has arrived; before that every request would be refused.
    std::atomic<bool> hasBackendList { false };
    std::atomic<std::size_t> openRequests { 0 };
    /// What decisions rest on, for the log: the version of the configuration in force, and since when
    /// the store has not confirmed the lists, in the clock's ticks; 0 while it does.
    std::atomic<std::int64_t> configurationVersion { 0 };
    std::atomic<TimePoint::rep> storeUnavailableSince { 0 };
    /// Tells the peers of a request that crashes backend servers.
    std::function<void(std::uint64_t)> reportSignature = [](std::uint64_t) {};
    /// Tells the peers of a request that was in flight on a backend server that crashed.
    std::function<void(const CrashSuspect&)> reportSuspect = [](const CrashSuspect&) {};
    /// Tells the peers of a backend server that says it is leaving.
    std::function<void(std::string_view)> reportLeaving = [](std::string_view) {};
    const CallerProtocol& callers = nativeCallerProtocol();
    const BackendProtocol& backends = nativeBackendProtocol();
};

/// @return how old the lists of backend servers and instances may be; zero while the store confirms them.
inline auto listAge(const EntryContext& context) -> Duration
{
    const TimePoint since { TimePoint::duration { context.storeUnavailableSince.load() } };
    return since == TimePoint {} ? Duration::zero() : std::chrono::duration_cast<Duration>(monotonicNow() - since);
}

/// Adds to the fields of a log line how current the knowledge was on which a request was placed or refused.
inline auto addFreshnessFields(const EntryContext& context, std::vector<LogField>& fields) -> void
{
    fields.emplace_back("config", context.configurationVersion.load());
    fields.emplace_back("list_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(listAge(context)).count());
}

}
