#include "RecordRules.h"

namespace jayhold {

namespace {

auto reply(const RecordOperation& operation, RecordDecision decision, bool isProvisional) -> RecordEffect
{
    return { ReplyBegin { operation.operationId, std::move(decision) }, false, isProvisional };
}

auto hasRoom(const RecordPartition& partition, const RecordTable& table, std::size_t added) -> bool
{
    std::size_t started = 1;
    for (const auto& [key, entry] : table.entries)
        started += entry.state == RecordState::Started ? 1 : 0;
    return table.bytes + added + started * partition.settings.answerReserveBytes <= partition.settings.maximumBytes;
}

auto beginNew(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, const BeginRecord& begin, std::int64_t wallMs) -> RecordEffect
{
    RecordEntry entry { RecordState::Started, begin.requestDigest, operation.attemptId, begin.holder, wallMs, {} };
    if (!hasRoom(partition, table, entryBytes(operation.key, entry)))
        return reply(operation, RecordUnavailable { partition.settings.tableFullRetryAfter }, true);
    putEntry(table, operation.key, std::move(entry));
    return { ReplyBegin { operation.operationId, RecordStarted {} }, true, false };
}

auto beginKnown(const RecordPartition& partition, const RecordEntry& entry, const RecordOperation& operation, const BeginRecord& begin, std::int64_t wallMs) -> RecordEffect
{
    if (entry.requestDigest != begin.requestDigest)
        return reply(operation, RecordMismatch {}, true);
    if (entry.state == RecordState::Done)
        return reply(operation, RecordDone { entry.answer }, false);
    // The attempt's own record: its update took effect although the reply was lost.
    if (entry.attemptId == operation.attemptId)
        return reply(operation, RecordStarted {}, false);
    const auto isOverdue = wallMs - entry.changedAtMs > partition.settings.startedLimitMs;
    if (isOverdue || (partition.isHolderLive && !partition.isHolderLive(entry.holder)))
        return reply(operation, RecordUnknown {}, true);
    return reply(operation, RecordInProgress { partition.settings.inProgressRetryAfter }, true);
}

auto begin(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, const BeginRecord& request, std::int64_t wallMs) -> RecordEffect
{
    const auto found = table.entries.find(operation.key);
    if (found == table.entries.end())
        return beginNew(partition, table, operation, request, wallMs);
    return beginKnown(partition, found->second, operation, request, wallMs);
}

auto stored(const RecordOperation& operation, bool isStored, bool isProvisional) -> RecordEffect
{
    return { ReplyStored { operation.operationId, isStored }, false, isProvisional };
}

auto finish(const RecordPartition& partition, RecordTable& table, const RecordOperation& operation, const FinishRecord& request, std::int64_t wallMs) -> RecordEffect
{
    const auto found = table.entries.find(operation.key);
    if (found == table.entries.end() || found->second.attemptId != operation.attemptId)
        return stored(operation, false, true);
    if (found->second.state == RecordState::Done)
        return stored(operation, found->second.answer == request.answer, false);
    auto entry = found->second;
    entry.state = RecordState::Done;
    entry.answer = request.answer;
    entry.changedAtMs = wallMs;
    const auto grown = table.bytes - entryBytes(operation.key, found->second) + entryBytes(operation.key, entry);
    if (request.answer.body.size() > partition.settings.maximumAnswerBytes || grown > partition.settings.maximumBytes)
        return stored(operation, false, false);
    putEntry(table, operation.key, std::move(entry));
    return { ReplyStored { operation.operationId, true }, true, false };
}

auto abandon(RecordTable& table, const RecordOperation& operation) -> RecordEffect
{
    const auto found = table.entries.find(operation.key);
    if (found == table.entries.end() || found->second.attemptId != operation.attemptId)
        return stored(operation, true, true);
    if (found->second.state == RecordState::Done)
        return stored(operation, false, false);
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
