#pragma once

/// The backend servers that the platform's store lists, as a pure state machine. During an outage the
/// store drops the entries of live servers, which register again shortly after it recovers. Missing
/// entries are therefore ignored for some time after an outage.

#include "BackendServer.h"
#include "Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct BackendDirectorySettings {
    /// Outages shorter than this drop no entries of live servers.
    Duration minOutage = std::chrono::seconds(1);
    /// Time after an outage within which live servers register again, as the platform specifies.
    Duration reregistrationTime = std::chrono::seconds(2);
    /// How long a server that left the list is kept for the requests that are still running on it.
    Duration lingerTime = std::chrono::seconds(20);
};

struct BackendDirectory {
    struct Entry {
        BackendServer server;
        /// When the server left the list. It gets no new work from then on.
        std::optional<TimePoint> removedAt;
        /// Whether the entry has been missing since an outage and is not yet removed.
        bool isMissing = false;
    };

    BackendDirectorySettings settings;
    std::map<std::string, Entry, std::less<>> entries;
    /// Since when calls to the store have been failing.
    std::optional<TimePoint> unavailableSince;
    /// Missing entries are ignored until this time.
    TimePoint reregistrationDeadline {};
};

/// Handles a failed call to the store.
auto storeFailed(BackendDirectory& directory, TimePoint now) -> void;
/// Handles a successful call to the store.
auto storeAnswered(BackendDirectory& directory, TimePoint now) -> void;

/// Applies a complete list of the store: adds and updates its servers and calls remove() for all others.
auto replaceAll(BackendDirectory& directory, TimePoint now, std::vector<BackendServer> servers) -> void;
auto upsert(BackendDirectory& directory, BackendServer server) -> void;
auto remove(BackendDirectory& directory, TimePoint now, std::string_view id) -> void;

/// Removes missing servers after the re-registration deadline, and erases servers that left the list
/// longer than the linger time ago.
/// @return whether anything changed.
auto expire(BackendDirectory& directory, TimePoint now) -> bool;

/// @return all servers that are live or leaving.
auto servers(const BackendDirectory& directory) -> std::vector<BackendServer>;

}
