#pragma once

/// The backend servers as the platform's store lists them, as a pure state machine. While the store
/// is away it drops entries of servers that live, and these return shortly after it; so for a time
/// after an outage a missing entry does not count.

#include "BackendServer.h"
#include "Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct BackendDirectorySettings {
    /// A store that was away for less has dropped no entry of a live server.
    Duration minOutage = std::chrono::seconds(1);
    /// Time after an outage in which live servers list themselves again; the platform states it.
    Duration reregistrationTime = std::chrono::seconds(2);
    /// How long a server that left the list is kept for the requests that it still runs.
    Duration lingerTime = std::chrono::seconds(20);
};

struct BackendDirectory {
    struct Entry {
        BackendServer server;
        /// When it left the list; it gets no new work from then on.
        std::optional<TimePoint> removedAt;
        /// Missing since an outage, and not yet taken as gone.
        bool isMissing = false;
    };

    BackendDirectorySettings settings;
    std::map<std::string, Entry, std::less<>> entries;
    /// Since when the store fails.
    std::optional<TimePoint> unavailableSince;
    /// Until when missing entries do not count.
    TimePoint reregistrationDeadline {};
};

/// A call to the store failed.
auto storeFailed(BackendDirectory& directory, TimePoint now) -> void;
/// A call to the store succeeded.
auto storeAnswered(BackendDirectory& directory, TimePoint now) -> void;

/// The store's list as a whole.
auto replaceAll(BackendDirectory& directory, TimePoint now, std::vector<BackendServer> servers) -> void;
auto upsert(BackendDirectory& directory, BackendServer server) -> void;
auto remove(BackendDirectory& directory, TimePoint now, std::string_view id) -> void;

/// Takes missing servers as gone and forgets those that left long ago, where it is time.
/// @return whether anything changed.
auto expire(BackendDirectory& directory, TimePoint now) -> bool;

/// @return the servers that are live or leaving.
auto servers(const BackendDirectory& directory) -> std::vector<BackendServer>;

}
