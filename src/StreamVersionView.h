#pragma once

/// What one instance knows of the software versions of a model service: the state in the store, and which versions the
/// list of servers shows and for how long. Decides when the state has to change, which new streams need a record, and
/// which version a stream without a record has.

#include "RecordNeed.h"
#include "StreamVersionState.h"
#include "Time.h"

#include <map>
#include <set>
#include <string_view>

namespace jayhold {

struct StreamVersionTimes {
    /// Time after the begin of a stream within which its caller may take it up, with a slack.
    Duration streamLifetime = std::chrono::seconds(19);
    /// Time for which a version must have been the only one before it becomes the default. Longer than the life of a
    /// stream and than the entry of a server that no longer writes it.
    Duration soleTime = std::chrono::seconds(60);
    /// Time after which all instances know of a change that one of them knows.
    Duration spreadTime = std::chrono::seconds(5);
};

struct StreamVersionView {
    StreamVersionTimes times;
    /// Newest known state, and when it became known.
    StreamVersionState state;
    TimePoint stateSince {};
    /// Whether the store's objects have been read.
    bool isRead = false;
    /// Greatest known history of the store.
    std::int64_t history = 0;
    /// The versions of listed servers, and since when each has been listed.
    std::map<std::string, TimePoint> listed;
    /// Since when the same versions have been listed, in one history of the store.
    TimePoint listedSince {};
    /// Since when the store has been available, without interruption until it failed if it is away.
    TimePoint availableSince {};
    /// Since when the store has been away.
    std::optional<TimePoint> awaySince;
    /// Since when peers have known a newer state.
    std::optional<TimePoint> behindSince;
};

/// Records the versions of the servers that are live or leaving.
auto updateListedVersions(StreamVersionView& view, TimePoint now, const std::set<std::string>& versions) -> void;

/// Records a history of the store. After a restore, servers may be missing from the list for some time.
auto updateHistory(StreamVersionView& view, TimePoint now, std::int64_t history) -> void;

auto updateAvailability(StreamVersionView& view, TimePoint now, bool isAvailable) -> void;

/// Records whether peers know a newer state than this instance.
auto updateBehind(StreamVersionView& view, TimePoint now, bool isBehind) -> void;

/// Records what the store contains.
/// @param stored the state in the store, with epoch 0 if there is none.
/// @return whether the known state has changed.
auto updateState(StreamVersionView& view, TimePoint now, const StreamVersionState& stored) -> bool;

/// @return the state that has to replace the known one in the store, or nothing.
auto dueState(const StreamVersionView& view, TimePoint now) -> std::optional<StreamVersionState>;

/// @return whether a new stream has to be recorded if its first event comes from a version.
auto recordNeed(const StreamVersionView& view, TimePoint now, std::string_view version) -> RecordNeed;

/// @return the version of a stream that has no record, or nothing if it is unknown.
auto versionWithoutRecord(const StreamVersionView& view) -> std::optional<std::string>;

/// @return the version that was the only one in the list for longer than streams live, until now or until the store
/// failed; nothing if there is none.
auto onlyVersion(const StreamVersionView& view, TimePoint now) -> std::optional<std::string>;

/// @return whether no other version than the given one is listed.
auto isOnlyListed(const StreamVersionView& view, std::string_view version) -> bool;

}
