#pragma once

/// What one operation does to a table of records, without regard to how the table is stored.

#include "RecordPartition.h"

#include <optional>

namespace jayhold {

/// The effect of one operation.
struct RecordEffect {
    /// The reply; valid at once where the table did not change, else once it is committed.
    RecordAction reply;
    bool hasChangedTable = false;
    /// Whether a newer table can give another reply.
    bool isProvisional = false;
};

auto applyOperation(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, std::int64_t wallMs) -> RecordEffect;

/// Removes the records whose retention has ended.
auto removeExpiredRecords(RecordTable& table, const RecordPartitionSettings& settings, std::int64_t wallMs) -> void;

/// @return the reply to an operation that can't be done now.
auto unavailableReply(const RecordOperation& operation, Duration retryAfter) -> RecordAction;

}
