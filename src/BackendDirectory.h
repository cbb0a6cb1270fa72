#pragma once

/// The backend servers that the platform's store lists, as a pure state machine. During an outage the
/// store drops the entries of live servers, which register again shortly after it recovers. Missing
/// entries are therefore ignored for some time after an outage. The same holds after the store was restored from an
/// older copy, whose entries may also show servers as they were before they left. A removed server gets work again if
/// its entry was written after the restore, or does not lapse. A server also says itself that it is leaving, before or
/// without its entry; no entry of the same process takes that back.

#include "BackendServer.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
    /// How long the entry of a removed server is kept, so that an entry of an older copy does not bring it back.
    Duration tombstoneTime = std::chrono::minutes(10);
    /// Time after which the store has removed the entry of a server that no longer writes it. A server writes it every
    /// second or so, and the store removes it after three intervals of silence.
    Duration lapseTime = std::chrono::seconds(20);
};

/// How the store has shown an entry.
enum class EntrySource {
    /// In a list. After a restore, its entries may be those of the older copy.
    List,
    /// As a change. It was written in the store's current history.
    Change,
};

struct BackendDirectory {
    /// An entry of the restored store that shows a removed server as live.
    struct Relisting {
        bool isListed = false;
        /// When expire() first found it listed in the current history.
        std::optional<TimePoint> since;
        /// Whether it has been listed for the lapse time.
        bool hasNotLapsed = false;
    };
    struct Entry {
        BackendServer server;
        /// When the server left the list. It gets no new work from then on.
        std::optional<TimePoint> removedAt;
        /// Whether the entry has been missing since an outage and is not yet removed.
        bool isMissing = false;
        /// Whether the server was removed because its entry stayed missing. It may still run and register late.
        bool isPresumedGone = false;
        /// Whether the server's entry or its own answers had shown that it leaves. This incarnation does not come back.
        bool hasReportedLeaving = false;
        Relisting relisting;
        /// Whether the linger time after the removal has passed, so that servers() no longer lists the server.
        bool isUnlisted = false;
        /// Whether the process has said itself that it is leaving.
        bool hasSaidLeaving = false;
        /// Other incarnations with the id that have said so. The store may show one of them again.
        std::set<std::string, std::less<>> leavingIncarnations;
        /// History of the store that has shown this state.
        std::int64_t history = 0;
    };

    BackendDirectorySettings settings;
    std::map<std::string, Entry, std::less<>> entries;
    /// Since when calls to the store have been failing.
    std::optional<TimePoint> unavailableSince;
    /// Missing entries are ignored until this time.
    TimePoint reregistrationDeadline {};
    /// History of the store that the entries are read from; absent before the first list.
    std::optional<std::int64_t> history;
};

/// Handles a failed call to the store.
auto storeFailed(BackendDirectory& directory, TimePoint now) -> void;
/// Handles a successful call to the store.
auto storeAnswered(BackendDirectory& directory, TimePoint now) -> void;

/// Handles the store's history of the next list or change. After a restore, missing entries are ignored until live
/// servers have registered again.
auto beginHistory(BackendDirectory& directory, TimePoint now, std::int64_t history) -> void;

/// Applies a complete list of the store: calls upsert() for its servers and remove() for all others.
/// @return the ids of the outdated entries, which were ignored.
auto replaceAll(BackendDirectory& directory, TimePoint now, std::vector<BackendServer> servers) -> std::vector<std::string>;

/// Adds or updates a server, unless the store was restored and the entry is outdated: it may be one of the older copy and
/// its incarnation is earlier than the known one, or it shows an incarnation as it was before it reported that it leaves,
/// or was removed. An entry that lacks what the known process has stated comes from another writer, and is ignored as well.
/// A process that has said that it is leaving stays so.
/// @return whether the entry was applied.
auto upsert(BackendDirectory& directory, BackendServer server, EntrySource source = EntrySource::List) -> bool;
auto remove(BackendDirectory& directory, TimePoint now, std::string_view id) -> void;

/// Handles a response in which a server says that it is leaving. Its process gets no new work from then on.
/// @param server the server as it was when it was called.
/// @return the state that the store shows, or nothing if the process has said so before or is not the known one.
auto markLeaving(BackendDirectory& directory, const BackendServer& server) -> std::optional<ReplicaState>;

/// Removes missing servers after the re-registration deadline, and no longer names servers that left the list
/// longer than the linger time ago.
/// @return whether anything changed.
auto expire(BackendDirectory& directory, TimePoint now) -> bool;

/// @return whether the restored store has listed a removed server as live for the lapse time. If the next list still
/// contains its entry, upsert() applies it.
auto hasUnlapsedEntry(const BackendDirectory& directory) -> bool;

/// A server is listed as leaving once another one has started at its address: its process has ended, which its own entry
/// shows only when it lapses. Requests for it would be rejected, and these rejections would use up the retries.
/// @return all servers that are live or leaving, without those that left longer than the linger time ago.
auto servers(const BackendDirectory& directory) -> std::vector<BackendServer>;

/// @return the id of the server that has started at the address of this one since, if there is one.
auto successorOf(const BackendDirectory& directory, const BackendServer& server) -> std::optional<std::string>;

}
