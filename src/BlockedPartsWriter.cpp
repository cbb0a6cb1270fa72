#include "BlockedPartsWriter.h"

#include "JitteredDelay.h"
#include "Pause.h"
#include "StoreRevision.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Mean delay of the first attempt. In a large fleet a few instances write before the others have read the
/// change.
constexpr Duration meanWriteDelay = std::chrono::milliseconds(200);
constexpr Duration minRetryDelay = std::chrono::milliseconds(100);
/// Limits the wait after the store has become available again.
constexpr Duration maxRetryDelay = std::chrono::milliseconds(500);

}

BlockedPartsWriter::BlockedPartsWriter(IoThreads& threads, ObjectStore& store, std::string kind, EventLog& log, BlockedPartsCallbacks callbacks)
    : m_threads(threads)
    , m_store(store)
    , m_kind(std::move(kind))
    , m_log(log)
    , m_callbacks(std::move(callbacks))
{
}

auto BlockedPartsWriter::update(const std::string& service, const UpdateBlockedPart& change) -> void
{
    asio::post(m_threads.context(0), [self = shared_from_this(), service, change] {
        const Key key { service, change.part };
        const auto [pending, isNew] = self->m_pending.insert_or_assign(key, change);
        if (isNew)
            asio::co_spawn(self->m_threads.context(0), self->write(key), logTaskFailure(self->m_log, "write blocked prompt parts"));
    });
}

auto BlockedPartsWriter::handleList(const std::string& service, std::vector<ListedPart> parts) -> void
{
    m_listed[service] = std::move(parts);
}

auto BlockedPartsWriter::write(Key key) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    co_await pause(jitteredDelay(meanWriteDelay));
    while (true) {
        const auto change = m_pending.at(key);
        const auto retryDelay = co_await writeOnce(key, change);
        const auto isReplaced = m_pending.at(key).change != change.change;
        if (!retryDelay && !isReplaced)
            break;
        co_await pause(retryDelay.value_or(Duration::zero()));
    }
    m_pending.erase(key);
}

auto BlockedPartsWriter::writeOnce(const Key& key, UpdateBlockedPart change) -> asio::awaitable<std::optional<Duration>>
{
    const auto& service = key.first;
    const auto part = key.second;
    // The list that was read last may lack a recent entry, so it saves only the calls of additions.
    if (change.change == BlockedPartChange::Add && !changeBlockedParts(m_listed[service], change))
        co_return std::nullopt;
    const auto current = co_await m_store.read(m_threads.client(0), m_kind, service);
    if (current.has_error())
        co_return logFailure(service, current.error());
    const auto changed = changeBlockedParts(blockedPartsFromJson(current->value).parts, change);
    if (!changed)
        co_return std::nullopt;
    const auto outcome = co_await m_store.update(m_threads.client(0), m_kind, service, blockedPartsToJson(*changed), current->revision);
    if (outcome.has_error()) {
        // A trial whose update may have taken effect counts as used, so that the number of trials is limited.
        if (change.change == BlockedPartChange::BeginTrial && outcome.error().kind != StoreErrorKind::Unavailable)
            co_return std::nullopt;
        co_return logFailure(service, outcome.error());
    }
    const auto* applied = std::get_if<UpdateApplied>(&*outcome);
    if (!applied)
        co_return minRetryDelay;
    logWritten(service, changed->size(), applied->revision);
    if (change.change == BlockedPartChange::BeginTrial)
        m_callbacks.trialAllowed(service, part);
    co_return std::nullopt;
}

auto BlockedPartsWriter::logFailure(const std::string& service, const StoreError& error) -> Duration
{
    m_log.record(LogLevel::Info, "blocked_parts_not_written", { { "service", service }, { "detail", error.detail } });
    return std::clamp(jitteredDelay(error.retryAfter / 2), minRetryDelay, maxRetryDelay);
}

auto BlockedPartsWriter::logWritten(const std::string& service, std::size_t parts, std::int64_t revision) -> void
{
    m_log.record(LogLevel::Info, "blocked_parts_written", { { "service", service }, { "parts", parts }, { "revision", numberOf(revision) }, { "history", historyOf(revision) } });
    m_callbacks.written(revision);
}

auto BlockedPartsWriter::restore(const std::string& service, std::vector<ListedPart> parts) -> void
{
    asio::co_spawn(m_threads.context(0), writeLost(service, std::move(parts)), logTaskFailure(m_log, "write lost blocked prompt parts"));
}

auto BlockedPartsWriter::writeLost(std::string service, std::vector<ListedPart> parts) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    std::optional<Duration> delay = jitteredDelay(meanWriteDelay);
    while (delay) {
        co_await pause(*delay);
        delay = co_await writeLostOnce(service, parts);
    }
}

auto BlockedPartsWriter::writeLostOnce(const std::string& service, const std::vector<ListedPart>& parts) -> asio::awaitable<std::optional<Duration>>
{
    const auto current = co_await m_store.read(m_threads.client(0), m_kind, service);
    if (current.has_error())
        co_return logFailure(service, current.error());
    const auto listed = blockedPartsFromJson(current->value).parts;
    const auto merged = mergeBlockedParts(listed, parts);
    if (merged == listed)
        co_return std::nullopt;
    const auto outcome = co_await m_store.update(m_threads.client(0), m_kind, service, blockedPartsToJson(merged), current->revision);
    if (outcome.has_error())
        co_return logFailure(service, outcome.error());
    const auto* applied = std::get_if<UpdateApplied>(&*outcome);
    if (!applied)
        co_return minRetryDelay;
    logWritten(service, merged.size(), applied->revision);
    co_return std::nullopt;
}

}
