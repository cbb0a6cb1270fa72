#pragma once

/// The state that the components of an entry instance share.

#include "BackendProtocol.h"
#include "CallerProtocol.h"
#include "CrashSuspect.h"
#include "EntrySettings.h"
#include "EventLog.h"
#include "IoThreads.h"
#include "Metrics.h"
#include "PromptReport.h"
#include "Time.h"
#include "UpdateBlockedPart.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayhold {

class QuotaLimiter;
class StreamVersions;

struct EntryContext {
    const EntrySettings& settings;
    IoThreads& threads;
    EventLog& log;
    Metrics metrics;
    /// Unique to this run of the process, because a restarted instance may keep its name.
    std::string runId;
    std::atomic<bool> isDraining { false };
    /// Whether a list with backend servers has arrived; until then every request would be refused.
    std::atomic<bool> hasBackendList { false };
    std::atomic<std::size_t> openRequests { 0 };
    /// When a draining instance ends its open requests, in ticks of the monotonic clock.
    std::atomic<TimePoint::rep> requestsEndAt { TimePoint::max().time_since_epoch().count() };
    /// Logged with decisions: the version of the active configuration, and the time since which the store
    /// has not confirmed the lists, in ticks of the clock, or 0 while it confirms them.
    std::atomic<std::int64_t> configurationVersion { 0 };
    std::atomic<TimePoint::rep> storeUnavailableSince { 0 };
    /// Reports the signature of a request that crashes backend servers to the peers.
    std::function<void(std::uint64_t)> reportCrashSignature = [](std::uint64_t) {};
    /// Reports a request that was in flight on a crashed backend server to the peers.
    std::function<void(const CrashSuspect&)> reportCrashSuspect = [](const CrashSuspect&) {};
    /// Reports the prompt of a request on a crashed engine, or harmless parts of prompts, to the peers.
    std::function<void(const PromptReport&)> reportPrompt = [](const PromptReport&) {};
    /// Changes the list of blocked prompt parts of a service that all instances share.
    std::function<void(const std::string& service, const UpdateBlockedPart&)> updateBlockedPart = [](const std::string&, const UpdateBlockedPart&) {};
    /// Processes what a response of a backend server says about the server.
    NoticeHandler handleNotice = ignoreNotices();
    /// Reports that a backend server has served the first request after its pause. Must not be called within a call
    /// of the services' table, whose lock it takes.
    std::function<void(const BackendServer&)> reportReturned = [](const BackendServer&) {};
    /// Reports a backend server that announced that it is leaving to the peers.
    std::function<void(std::string_view)> reportLeaving = [](std::string_view) {};
    /// Knows the software versions of streams; null if a stream may go on at any version.
    std::shared_ptr<StreamVersions> streamVersions;
    /// Applies the quotas of customers; null if nothing does.
    std::shared_ptr<QuotaLimiter> quotas;
    const CallerProtocol& callerProtocol = nativeCallerProtocol();
    const BackendProtocol& backendProtocol = nativeBackendProtocol();
};

/// @return when the instance ends its open requests; the maximum while it is not draining.
inline auto requestsEndAt(const EntryContext& context) -> TimePoint
{
    return TimePoint { TimePoint::duration { context.requestsEndAt.load() } };
}

/// @return the maximum age of the lists of backend servers and instances; zero while the store confirms
/// them.
inline auto listAge(const EntryContext& context) -> Duration
{
    const TimePoint since { TimePoint::duration { context.storeUnavailableSince.load() } };
    return since == TimePoint {} ? Duration::zero() : std::chrono::duration_cast<Duration>(monotonicNow() - since);
}

/// Adds the configuration version and the age of the lists on which a placement or refusal was based to the
/// fields of its log event.
inline auto addFreshnessFields(const EntryContext& context, std::vector<LogField>& fields) -> void
{
    fields.emplace_back("config", context.configurationVersion.load());
    fields.emplace_back("list_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(listAge(context)).count());
}

}
