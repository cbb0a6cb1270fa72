#include "RecordPartition.h"

#include "RecordRules.h"

#include <set>

namespace jayhold {

namespace {

constexpr auto unavailableRetryAfter = std::chrono::milliseconds(500);

/// Applies the queued operations. Emits the replies that are valid at once. Moves the operations whose
/// reply depends on a change of the table to `inFlight`.
/// @return whether a newer table has to be read first. The operations that need it stay queued.
auto formBatch(RecordPartition& partition, RecordTime time, RecordTable& next, RecordActions& actions) -> bool
{
    const auto isFresh = time.now - partition.verifiedAt <= partition.settings.maxTableAge;
    auto needsReload = false;
    std::set<std::string> changedKeys;
    std::deque<RecordOperation> deferred;
    for (auto& operation : partition.queued) {
        auto effect = applyOperation(partition, next, operation, time.wallMs);
        if (effect.hasChangedTable)
            changedKeys.insert(operation.key);
        // A reply that depends on a change in this batch is not valid before the batch is stored.
        if (changedKeys.contains(operation.key)) {
            partition.inFlight.push_back({ std::move(operation), std::move(effect.reply) });
            continue;
        }
        if (effect.isProvisional && !isFresh && !operation.hasReloaded) {
            operation.hasReloaded = true;
            needsReload = true;
            deferred.push_back(std::move(operation));
            continue;
        }
        actions.push_back(std::move(effect.reply));
    }
    partition.queued = std::move(deferred);
    return needsReload;
}

auto requeueInFlight(RecordPartition& partition) -> void
{
    while (!partition.inFlight.empty()) {
        partition.queued.push_front(std::move(partition.inFlight.back().operation));
        partition.inFlight.pop_back();
    }
}

auto advance(RecordPartition& partition, RecordTime time, RecordActions& actions) -> void
{
    if (partition.phase != PartitionPhase::Idle || partition.queued.empty())
        return;
    if (!partition.table) {
        partition.phase = PartitionPhase::Loading;
        actions.emplace_back(LoadTable {});
        return;
    }
    auto next = std::make_shared<RecordTable>(*partition.table);
    removeExpiredRecords(*next, partition.settings, time.wallMs);
    if (formBatch(partition, time, *next, actions)) {
        requeueInFlight(partition);
        partition.phase = PartitionPhase::Loading;
        actions.emplace_back(LoadTable {});
        return;
    }
    if (partition.inFlight.empty())
        return;
    partition.phase = PartitionPhase::Writing;
    partition.proposed = std::move(next);
    actions.emplace_back(WriteTable { partition.revision, partition.proposed });
}

auto setTable(RecordPartition& partition, RecordTime time, std::int64_t revision, std::shared_ptr<const RecordTable> table) -> void
{
    partition.phase = PartitionPhase::Idle;
    partition.table = std::move(table);
    partition.revision = revision;
    partition.verifiedAt = time.now;
    partition.proposed = nullptr;
}

auto replyUnavailableToAll(RecordPartition& partition, Duration retryAfter, RecordActions& actions) -> void
{
    for (const auto& operation : partition.queued)
        actions.push_back(unavailableReply(operation, retryAfter));
    partition.queued.clear();
}

}

auto submit(RecordPartition& partition, RecordTime time, RecordOperation operation, RecordActions& actions) -> void
{
    if (partition.queued.size() >= partition.settings.maxQueued) {
        actions.push_back(unavailableReply(operation, unavailableRetryAfter));
        return;
    }
    partition.queued.push_back(std::move(operation));
    advance(partition, time, actions);
}

auto tableLoaded(RecordPartition& partition, RecordTime time, std::int64_t revision, RecordTable table, RecordActions& actions) -> void
{
    setTable(partition, time, revision, std::make_shared<const RecordTable>(std::move(table)));
    advance(partition, time, actions);
}

auto updateApplied(RecordPartition& partition, RecordTime time, std::int64_t revision, RecordActions& actions) -> void
{
    for (auto& item : partition.inFlight)
        actions.push_back(std::move(item.reply));
    partition.inFlight.clear();
    setTable(partition, time, revision, partition.proposed);
    advance(partition, time, actions);
}

auto updateConflicted(RecordPartition& partition, RecordTime time, std::int64_t revision, RecordTable table, RecordActions& actions) -> void
{
    requeueInFlight(partition);
    setTable(partition, time, revision, std::make_shared<const RecordTable>(std::move(table)));
    advance(partition, time, actions);
}

auto storeFailed(RecordPartition& partition, RecordTime time, bool mayHaveTakenEffect, Duration retryAfter, RecordActions& actions) -> void
{
    const auto wasWriting = partition.phase == PartitionPhase::Writing;
    partition.phase = PartitionPhase::Idle;
    partition.proposed = nullptr;
    if (wasWriting && mayHaveTakenEffect) {
        // The table is read back to find out which attempts it contains.
        for (auto& item : partition.inFlight)
            item.operation.mayBeCommitted = true;
        requeueInFlight(partition);
        partition.table = nullptr;
        advance(partition, time, actions);
        return;
    }
    requeueInFlight(partition);
    replyUnavailableToAll(partition, retryAfter, actions);
}

auto expireOperations(RecordPartition& partition, RecordTime time, RecordActions& actions) -> void
{
    const auto isExpired = [&](RecordOperation& operation) {
        if (operation.deadline > time.now)
            return false;
        operation.mayBeCommitted = operation.mayBeCommitted || partition.phase == PartitionPhase::Writing;
        actions.push_back(unavailableReply(operation, unavailableRetryAfter));
        return true;
    };
    std::erase_if(partition.queued, isExpired);
    std::erase_if(partition.inFlight, [&](RecordInFlight& item) { return isExpired(item.operation); });
}

}
