#pragma once

/// What an entry instance tells the others of its reservations.

#include "BackendUsage.h"
#include "CrashSuspect.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct LoadMessage {
    std::string instance;
    /// Tells two runs of the instance's process apart.
    std::string run;
    /// Rises with each message of a run.
    std::uint64_t sequence = 0;
    std::vector<BackendUsage> uses;
    /// Backend servers that the instance has lately ordered to change their role.
    std::vector<std::string> backendsChangingRole;
    /// Signatures of requests that crash backend servers.
    std::vector<std::uint64_t> signatures;
    /// Requests that were in flight on backend servers that crashed.
    std::vector<CrashSuspect> suspects;
    /// By kind of the store's objects: the revision of the last change that the instance has taken.
    std::map<std::string, std::int64_t> revisions;
};

/// @return the message as JSON.
auto serializeLoadMessage(const LoadMessage& message) -> std::string;

/// @return nothing where the text is not a message.
auto parseLoadMessage(std::string_view text) -> std::optional<LoadMessage>;

}
