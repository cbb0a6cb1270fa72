#pragma once

/// The message in which an entry instance reports its reservations to its peers.

#include "BackendLimits.h"
#include "BackendUsage.h"
#include "CrashSuspect.h"
#include "PromptReport.h"
#include "SpeedReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct LoadMessage {
    std::string instance;
    /// Distinguishes successive processes of the instance.
    std::string incarnation;
    /// Increases with each message of a process.
    std::uint64_t sequence = 0;
    std::vector<BackendUsage> usages;
    /// Backend servers that the instance has recently ordered to change their role.
    std::vector<std::string> backendsChangingRole;
    /// Limits of backend servers that the instance has recently observed.
    std::vector<LimitReport> limits;
    /// Observed speeds of backend servers, at most maxSpeedReportsPerMessage.
    std::vector<SpeedReport> speeds;
    /// Signatures of requests that crash backend servers.
    std::vector<std::uint64_t> signatures;
    /// Requests that were in flight on backend servers that crashed.
    std::vector<CrashSuspect> suspects;
    std::vector<PromptReport> promptReports;
    /// Revision of the last change that the instance has applied, by kind of the store's objects.
    std::map<std::string, std::int64_t> revisions;
    /// Zone of the instance; empty in messages of earlier versions.
    std::string availabilityZone {};
    bool isDraining = false;
};

/// @return the message as JSON text.
auto serializeLoadMessage(const LoadMessage& message) -> std::string;

/// @return the message, or nothing if the text is not a load message.
auto parseLoadMessage(std::string_view text) -> std::optional<LoadMessage>;

}
