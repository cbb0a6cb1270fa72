#pragma once

/// An in-process store that all instances of a test share and that can be restored from an older copy, without
/// connections. Revisions contain the history, as those of the platform's adapter do.

#include "ObjectStore.h"
#include "Pause.h"
#include "StoreRevision.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jayhold {

class RestorableStore {
public:
    struct Snapshot {
        std::int64_t revision = 0;
        std::vector<StoredItem> items;
    };

    auto put(const std::string& kind, const std::string& name, boost::json::value value) -> std::int64_t
    {
        const std::lock_guard guard(m_lock);
        return write(kind, { { name, 0, std::move(value) }, false });
    }
    auto remove(const std::string& kind, const std::string& name) -> void
    {
        const std::lock_guard guard(m_lock);
        write(kind, { { name, 0, nullptr }, true });
    }
    auto saveCopy() -> void
    {
        const std::lock_guard guard(m_lock);
        m_copy = m_state;
    }
    /// Goes back to the saved copy in a new history.
    auto restore() -> void
    {
        const std::lock_guard guard(m_lock);
        m_state = m_copy;
        m_changes.clear();
        ++m_history;
    }
    auto history() const -> std::int64_t
    {
        const std::lock_guard guard(m_lock);
        return m_history;
    }
    auto snapshot(const std::string& kind) const -> Snapshot
    {
        const std::lock_guard guard(m_lock);
        Snapshot snapshot { makeRevision(m_history, m_state.number), {} };
        for (const auto& [key, item] : m_state.objects) {
            if (key.first == kind)
                snapshot.items.push_back({ item.name, makeRevision(m_history, item.revision), item.value });
        }
        return snapshot;
    }
    /// @return the changes after a revision, or HistoryGone if its history has ended.
    auto changesAfter(const std::string& kind, std::int64_t revision) const -> StoreResult<ItemChanges>
    {
        const std::lock_guard guard(m_lock);
        if (historyOf(revision) != m_history)
            return StoreError { StoreErrorKind::HistoryGone, "the store was restored", Duration::zero() };
        ItemChanges result { .revision = makeRevision(m_history, m_state.number) };
        for (const auto& [changedKind, change] : m_changes) {
            if (changedKind == kind && change.item.revision > revision)
                result.changes.push_back(change);
        }
        return result;
    }
    auto read(const std::string& kind, const std::string& name) const -> StoredObject
    {
        const std::lock_guard guard(m_lock);
        return readUnlocked(kind, name);
    }
    auto update(const std::string& kind, const std::string& name, boost::json::value value, std::int64_t expectedRevision) -> UpdateOutcome
    {
        const std::lock_guard guard(m_lock);
        auto current = readUnlocked(kind, name);
        if (current.revision != expectedRevision)
            return UpdateConflict { std::move(current) };
        return UpdateApplied { write(kind, { { name, 0, std::move(value) }, false }) };
    }

private:
    struct State {
        std::int64_t number = 1;
        std::map<std::pair<std::string, std::string>, StoredItem> objects;
    };

    auto readUnlocked(const std::string& kind, const std::string& name) const -> StoredObject
    {
        const auto found = m_state.objects.find({ kind, name });
        if (found == m_state.objects.end())
            return { .history = m_history };
        return { makeRevision(m_history, found->second.revision), found->second.value, m_history };
    }
    auto write(const std::string& kind, ItemChange change) -> std::int64_t
    {
        change.item.revision = ++m_state.number;
        if (change.isDeleted)
            m_state.objects.erase({ kind, change.item.name });
        else
            m_state.objects[{ kind, change.item.name }] = change.item;
        change.item.revision = makeRevision(m_history, m_state.number);
        m_changes.emplace_back(kind, change);
        return change.item.revision;
    }

    mutable std::mutex m_lock;
    std::int64_t m_history = 1;
    State m_state;
    State m_copy;
    std::vector<std::pair<std::string, ItemChange>> m_changes;
};

/// One instance's access to the store.
class RestorableStoreClient final : public ObjectStore {
public:
    explicit RestorableStoreClient(RestorableStore& store)
        : m_store(store)
    {
    }
    auto list(HttpClient&, std::string kind, ReadMode) -> boost::asio::awaitable<StoreResult<ItemList>> override
    {
        const auto snapshot = m_store.snapshot(kind);
        lists += kind != "instances";
        co_await pause(listDelay);
        if (isDown)
            co_return StoreError { StoreErrorKind::Unavailable, "down", Duration::zero() };
        co_return ItemList { .items = snapshot.items, .revision = snapshot.revision };
    }
    /// A waiting watch learns of a restore when its wait ends.
    auto watch(HttpClient&, std::string kind, std::int64_t revision, Duration wait) -> boost::asio::awaitable<StoreResult<ItemChanges>> override
    {
        const auto end = monotonicNow() + wait;
        while (true) {
            co_await pause(std::chrono::milliseconds(1));
            if (isDown)
                co_return StoreError { StoreErrorKind::Unavailable, "down", Duration::zero() };
            auto result = m_store.changesAfter(kind, revision);
            if (monotonicNow() >= end || (result.has_value() && !result->changes.empty()))
                co_return result;
        }
    }
    auto read(HttpClient&, std::string kind, std::string name) -> boost::asio::awaitable<StoreResult<StoredObject>> override { co_return m_store.read(kind, name); }
    auto update(HttpClient&, std::string kind, std::string name, boost::json::value value, std::int64_t expectedRevision) -> boost::asio::awaitable<StoreResult<UpdateOutcome>> override
    {
        co_await pause(std::chrono::milliseconds(1));
        co_return m_store.update(kind, name, std::move(value), expectedRevision);
    }
    auto put(HttpClient&, std::string kind, std::string name, boost::json::value value) -> boost::asio::awaitable<StoreResult<std::int64_t>> override
    {
        if (isDown)
            co_return StoreError { StoreErrorKind::Unavailable, "down", Duration::zero() };
        co_return m_store.put(kind, name, std::move(value));
    }
    auto counts() const -> StoreCallCounts override { return {}; }

    /// Time between the moment that a list shows and its arrival.
    std::atomic<Duration> listDelay { std::chrono::milliseconds(1) };
    std::atomic<bool> isDown { false };
    /// Number of lists, without those of the instances' records, which are read periodically.
    std::atomic<int> lists { 0 };

private:
    RestorableStore& m_store;
};

}
