#pragma once

/// One partition of the at-most-once records, as a pure state machine. Operations that arrive while a
/// write is in flight are committed together by the next conditional update. Safety depends on the
/// conditional update alone: any number of instances, with any clocks, may run this state machine for
/// the same partition at the same time.

#include "RecordDecision.h"
#include "RecordOperation.h"
#include "RecordTable.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace jayhold {

struct RecordPartitionSettings {
    /// The platform accepts values up to 1 MB.
    std::size_t maxBytes = 1'000'000;
    /// Space reserved for the response of each started record, so that it can usually be stored.
    std::size_t responseReserveBytes = 2'048;
    /// Larger responses are not stored.
    std::size_t maxResponseBytes = 65'536;
    std::size_t maxQueued = 4'096;
    std::int64_t retentionMs = 86'400'000;
    /// Time after which a started record counts as unknown even if its holder is live.
    std::int64_t startedLimitMs = 300'000;
    /// Maximum age of a table from which provisional replies are given.
    Duration maxTableAge = std::chrono::seconds(1);
    Duration inProgressRetryAfter = std::chrono::milliseconds(250);
    Duration tableFullRetryAfter = std::chrono::seconds(30);
};

enum class PartitionPhase {
    Idle,
    Loading,
    Writing,
};

/// Action: read the partition's object.
struct LoadTable {
};

/// Action: write the table by a conditional update.
struct WriteTable {
    std::int64_t expectedRevision;
    std::shared_ptr<const RecordTable> table;
};

struct ReplyBegin {
    std::uint64_t operationId;
    RecordDecision decision;
    /// With RecordUnavailable, whether a record of the attempt may exist and should be withdrawn.
    bool mayBeCommitted = false;
};

/// Reply to FinishRecord or AbandonRecord.
struct ReplyStored {
    std::uint64_t operationId;
    bool isStored;
};

using RecordAction = std::variant<LoadTable, WriteTable, ReplyBegin, ReplyStored>;
using RecordActions = std::vector<RecordAction>;

/// An operation that is part of a write, with the reply to give after the write has taken effect.
struct RecordInFlight {
    RecordOperation operation;
    RecordAction reply;
};

struct RecordPartition {
    RecordPartitionSettings settings;
    /// @return whether the holder of a started record may still be running its call.
    std::function<bool(std::string_view)> isHolderLive;
    PartitionPhase phase = PartitionPhase::Idle;
    /// The last table known to be stored, or null if it must be read first.
    std::shared_ptr<const RecordTable> table;
    std::int64_t revision = 0;
    TimePoint verifiedAt {};
    std::shared_ptr<const RecordTable> proposed;
    std::deque<RecordOperation> queued;
    std::vector<RecordInFlight> inFlight;
};

/// Input time of the state machine: the monotonic clock for deadlines, the wall clock for retention.
struct RecordTime {
    TimePoint now;
    std::int64_t wallMs;
};

auto submit(RecordPartition& partition, RecordTime time, RecordOperation operation, RecordActions& actions) -> void;

/// Handles a successful read of the table.
auto tableLoaded(RecordPartition& partition, RecordTime time, std::int64_t revision, RecordTable table, RecordActions& actions) -> void;

/// Handles a conditional update that took effect.
auto updateApplied(RecordPartition& partition, RecordTime time, std::int64_t revision, RecordActions& actions) -> void;

/// Handles a conditional update that was rejected because another update came first.
/// @param table the table that is stored now.
auto updateConflicted(RecordPartition& partition, RecordTime time, std::int64_t revision, RecordTable table, RecordActions& actions) -> void;

/// Handles a failed read or update.
/// @param mayHaveTakenEffect whether the update may have been stored.
/// @param retryAfter delay after which callers should retry.
auto storeFailed(RecordPartition& partition, RecordTime time, bool mayHaveTakenEffect, Duration retryAfter, RecordActions& actions) -> void;

/// Replies to the operations whose deadline has passed.
auto expireOperations(RecordPartition& partition, RecordTime time, RecordActions& actions) -> void;

}
