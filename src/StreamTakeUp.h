#pragma once

/// Finds the software version at which a stream that a caller takes up may go on.

#include "StreamRecordTable.h"
#include "StreamVersionList.h"
#include "StreamVersionView.h"

#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

/// Where the version of a stream was found.
enum class StreamVersionSource : std::uint8_t {
    /// This instance began the stream or has looked it up before.
    Memory,
    Record,
    /// The state of the service says the version of streams without a record.
    Default,
    /// The store can't be read, but no other version has been listed since the stream began.
    OnlyVersion,
    Unknown,
};

/// @return the name for logs and metrics.
auto name(StreamVersionSource source) -> std::string_view;

struct StreamVersionAnswer {
    /// Absent if the version is unknown, so that the stream must not go on anywhere.
    std::optional<std::string> version;
    StreamVersionSource source = StreamVersionSource::Unknown;
    /// Unix time of the begin of the stream; 0 if unknown.
    std::int64_t begunAtMs = 0;
    /// Whether the version is unknown only because the store can't be read.
    bool isStoreAway = false;
};

/// @param resumed id of the request that brought the first event of the stream; empty if the caller does not name it.
/// @param list a list of the store that was requested after the caller's request arrived.
/// @param view what is known after the list.
auto findStreamVersion(const StreamVersionView& view, const StreamVersionList& list, const std::string& service, const std::string& resumed) -> StreamVersionAnswer;

/// @return the answer while the store can't be read.
/// @param isBehind whether peers know changes of the list of servers that this instance lacks.
auto findStreamVersionWithoutStore(const StreamVersionView& view, TimePoint now, bool isBehind) -> StreamVersionAnswer;

/// @return whether a new stream has to be recorded if its first event comes from a version. A record of another version
/// has to be corrected, also if the version needs none. The correction counts only when the store is known to contain it,
/// because another instance goes by the record in the store.
auto recordNeed(const StreamVersionView& view, const StreamRecordTable& table, TimePoint now, const std::string& request, std::string_view version) -> RecordNeed;

}
