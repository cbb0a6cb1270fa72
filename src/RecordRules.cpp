#include "RecordRules.h"

namespace jayhold {

namespace {

auto beginEffect(const RecordOperation& operation, RecordDecision decision, bool isProvisional) -> RecordEffect
{
    return { ReplyBegin { operation.operationId, std::move(decision) }, false, isProvisional };
}

auto hasRoom(const RecordPartition& partition, const RecordTable& table, std::size_t addedBytes) -> bool
{
    std::size_t startedCount = 1;
    for (const auto& [key, entry] : table.entries)
        startedCount += entry.state == RecordState::Started ? 1 : 0;
    return table.bytes + addedBytes + startedCount * partition.settings.responseReserveBytes <= partition.settings.maxBytes;
}

auto beginNew(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, const BeginRecord& begin, std::int64_t wallMs) -> RecordEffect
{
    RecordEntry entry { RecordState::Started, begin.requestDigest, operation.attemptId, begin.holder, wallMs, {} };
    if (!hasRoom(partition, table, entryBytes(operation.key, entry)))
        return beginEffect(operation, RecordUnavailable { partition.settings.tableFullRetryAfter }, true);
    putEntry(table, operation.key, std::move(entry));
    return { ReplyBegin { operation.operationId, RecordStarted {} }, true, false };
}

auto beginKnown(const RecordPartition& partition, const RecordEntry& entry, const RecordOperation& operation, const BeginRecord& begin, std::int64_t wallMs) -> RecordEffect
{
    if (entry.requestDigest != begin.requestDigest)
        return beginEffect(operation, RecordMismatch {}, true);
    if (entry.state == RecordState::Done)
        return beginEffect(operation, RecordDone { entry.response }, false);
    // The record belongs to this attempt: its update took effect although the reply was lost.
    if (entry.attemptId == operation.attemptId)
        return beginEffect(operation, RecordStarted {}, false);
    const auto isPastStartedLimit = wallMs - entry.changedAtMs > partition.settings.startedLimitMs;
    if (isPastStartedLimit || (partition.isHolderLive && !partition.isHolderLive(entry.holder)))
        return beginEffect(operation, RecordUnknown {}, true);
    return beginEffect(operation, RecordInProgress { partition.settings.inProgressRetryAfter }, true);
}

auto begin(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, const BeginRecord& request, std::int64_t wallMs) -> RecordEffect
{
    const auto found = table.entries.find(operation.key);
    if (found == table.entries.end())
        return beginNew(partition, table, operation, request, wallMs);
    return beginKnown(partition, found->second, operation, request, wallMs);
}

auto storedEffect(const RecordOperation& operation, bool isStored, bool isProvisional) -> RecordEffect
{
    return { ReplyStored { operation.operationId, isStored }, false, isProvisional };
}

auto finish(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, const FinishRecord& request, std::int64_t wallMs) -> RecordEffect
{
    const auto found = table.entries.find(operation.key);
    if (found == table.entries.end() || found->second.attemptId != operation.attemptId)
        return storedEffect(operation, false, true);
    if (found->second.state == RecordState::Done)
        return storedEffect(operation, found->second.response == request.response, false);
    auto entry = found->second;
    entry.state = RecordState::Done;
    entry.response = request.response;
    entry.changedAtMs = wallMs;
    const auto newBytes = table.bytes - entryBytes(operation.key, found->second) + entryBytes(operation.key, entry);
    if (request.response.body.size() > partition.settings.maxResponseBytes || newBytes > partition.settings.maxBytes)
        return storedEffect(operation, false, false);
    putEntry(table, operation.key, std::move(entry));
    return { ReplyStored { operation.operationId, true }, true, false };
}

auto abandon(RecordTable& table, const RecordOperation& operation) -> RecordEffect
{
    const auto found = table.entries.find(operation.key);
    if (found == table.entries.end() || found->second.attemptId != operation.attemptId)
        return storedEffect(operation, true, true);
    if (found->second.state == RecordState::Done)
        return storedEffect(operation, false, false);
    removeEntry(table, operation.key);
    return { ReplyStored { operation.operationId, true }, true, false };
}

}

auto applyOperation(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, std::int64_t wallMs) -> RecordEffect
{
    if (const auto* request = std::get_if<BeginRecord>(&operation.request))
        return begin(partition, table, operation, *request, wallMs);
    if (const auto* request = std::get_if<FinishRecord>(&operation.request))
        return finish(partition, table, operation, *request, wallMs);
    return abandon(table, operation);
}

auto removeExpiredRecords(RecordTable& table, const RecordPartitionSettings& settings, std::int64_t wallMs) -> void
{
    for (auto item = table.entries.begin(); item != table.entries.end();) {
        if (wallMs - item->second.changedAtMs <= settings.retentionMs) {
            ++item;
            continue;
        }
        table.bytes -= entryBytes(item->first, item->second);
        item = table.entries.erase(item);
    }
}

auto unavailableReply(const RecordOperation& operation, Duration retryAfter) -> RecordAction
{
    if (std::holds_alternative<BeginRecord>(operation.request))
        return ReplyBegin { operation.operationId, RecordUnavailable { retryAfter }, operation.mayBeCommitted };
    return ReplyStored { operation.operationId, false };
}

}
