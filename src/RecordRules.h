#pragma once

/// The effect of an operation on a table of records, independent of how the table is stored.

#include "RecordPartition.h"

#include <optional>

namespace jayhold {

/// The effect of one operation.
struct RecordEffect {
    /// The reply. It is valid at once if the table did not change, otherwise after the commit.
    RecordAction reply;
    bool hasChangedTable = false;
    /// Whether a newer table could lead to a different reply.
    bool isProvisional = false;
};

auto applyOperation(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, std::int64_t wallMs) -> RecordEffect;

/// Removes the records that are older than the retention time.
auto removeExpiredRecords(RecordTable& table, const RecordPartitionSettings& settings, std::int64_t wallMs) -> void;

/// @return the reply to an operation that can't be executed now.
auto unavailableReply(const RecordOperation& operation, Duration retryAfter) -> RecordAction;

}
