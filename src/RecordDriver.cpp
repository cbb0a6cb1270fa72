#include "RecordDriver.h"

#include "AwaitToken.h"
#include "MembershipOwners.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Retry delay for callers of a partition whose object can't be parsed, which only an operator can repair.
constexpr auto unreadableRetryAfter = std::chrono::seconds(30);

auto currentRecordTime() -> RecordTime
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return { monotonicNow(), std::chrono::duration_cast<std::chrono::milliseconds>(wall).count() };
}

auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

RecordDriver::RecordDriver(ClusterPointer core, std::string object, std::size_t thread)
    : m_core(std::move(core))
    , m_object(std::move(object))
    , m_thread(thread)
{
    m_partition.settings.retentionMs = toMilliseconds(m_core->settings.recordRetention);
    m_partition.settings.startedLimitMs = toMilliseconds(m_core->settings.recordStartedLimit);
    m_partition.isHolderLive = [this](std::string_view holder) {
        const std::lock_guard guard(m_core->lock);
        return mayBeRunning(m_core->membership, holder);
    };
}

auto RecordDriver::run(RecordOperation operation) -> asio::awaitable<RecordAction>
{
    auto& context = m_core->threads.context(m_thread);
    co_return co_await asio::co_spawn(context, runOnOwnThread(std::move(operation)), asio::use_awaitable);
}

auto RecordDriver::runOnOwnThread(RecordOperation operation) -> asio::awaitable<RecordAction>
{
    const auto self = shared_from_this();
    const auto waiter = std::make_shared<Waiter>(m_core->threads.context(m_thread));
    const auto operationId = ++m_lastOperationId;
    operation.operationId = operationId;
    m_waiters[operationId] = waiter;
    waiter->timer.expires_at(operation.deadline);
    RecordActions actions;
    submit(m_partition, currentRecordTime(), std::move(operation), actions);
    execute(std::move(actions));
    while (!waiter->reply) {
        boost::system::error_code code;
        co_await waiter->timer.async_wait(awaitInto(code));
        if (waiter->reply)
            break;
        RecordActions expired;
        expireOperations(m_partition, currentRecordTime(), expired);
        execute(std::move(expired));
    }
    co_return std::move(*waiter->reply);
}

auto RecordDriver::execute(RecordActions actions) -> void
{
    auto& context = m_core->threads.context(m_thread);
    for (auto& action : actions) {
        if (std::holds_alternative<LoadTable>(action))
            asio::co_spawn(context, load(), asio::detached);
        else if (auto* written = std::get_if<WriteTable>(&action))
            asio::co_spawn(context, write(std::move(*written)), asio::detached);
        else if (const auto* begin = std::get_if<ReplyBegin>(&action))
            reply(begin->operationId, std::move(action));
        else
            reply(std::get<ReplyStored>(action).operationId, std::move(action));
    }
}

auto RecordDriver::reply(std::uint64_t operationId, RecordAction action) -> void
{
    const auto found = m_waiters.find(operationId);
    if (found == m_waiters.end())
        return;
    found->second->reply = std::move(action);
    found->second->timer.cancel();
    m_waiters.erase(found);
}

auto RecordDriver::load() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto object = co_await m_core->store.read(m_core->threads.client(m_thread), m_object);
    if (m_core->isStopped)
        co_return;
    RecordActions actions;
    if (object.has_error())
        handleFailure(object.error(), actions);
    else
        handleLoaded(*object, actions);
    execute(std::move(actions));
}

auto RecordDriver::write(WriteTable action) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto value = toJson(*action.table);
    const auto outcome = co_await m_core->store.update(m_core->threads.client(m_thread), m_object, std::move(value), action.expectedRevision);
    if (m_core->isStopped)
        co_return;
    RecordActions actions;
    if (outcome.has_error())
        handleFailure(outcome.error(), actions);
    else if (const auto* applied = std::get_if<UpdateApplied>(&*outcome))
        updateApplied(m_partition, currentRecordTime(), applied->revision, actions);
    else
        handleConflict(std::get<UpdateConflict>(*outcome).current, actions);
    execute(std::move(actions));
}

auto RecordDriver::handleLoaded(const StoredObject& object, RecordActions& actions) -> void
{
    auto table = recordTableFromJson(object.value);
    if (!table)
        return handleUnreadable(object.revision, actions);
    tableLoaded(m_partition, currentRecordTime(), object.revision, std::move(*table), actions);
}

auto RecordDriver::handleConflict(const StoredObject& object, RecordActions& actions) -> void
{
    auto table = recordTableFromJson(object.value);
    if (!table)
        return handleUnreadable(object.revision, actions);
    updateConflicted(m_partition, currentRecordTime(), object.revision, std::move(*table), actions);
}

auto RecordDriver::handleFailure(const StoreError& error, RecordActions& actions) -> void
{
    const auto mayHaveTakenEffect = error.kind == StoreErrorKind::OutcomeUnknown || error.kind == StoreErrorKind::MalformedAnswer;
    storeFailed(m_partition, currentRecordTime(), mayHaveTakenEffect, error.retryAfter, actions);
}

auto RecordDriver::handleUnreadable(std::int64_t revision, RecordActions& actions) -> void
{
    m_core->log.record(LogLevel::Error, "records_unreadable", { { "object", m_object }, { "revision", revision } });
    storeFailed(m_partition, currentRecordTime(), false, unreadableRetryAfter, actions);
}

}
