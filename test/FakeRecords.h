#pragma once

/// In-memory fake of the at-most-once records.

#include "AtMostOnceRecords.h"

#include <map>
#include <mutex>

namespace jayhold {

class FakeRecords final : public AtMostOnceRecords {
public:
    /// If set, begin() returns this decision.
    std::optional<RecordDecision> forcedDecision;
    bool canFinish = true;

    auto begin(HttpClient&, std::string key, std::string digest, std::string) -> boost::asio::awaitable<RecordDecision> override
    {
        const std::lock_guard guard(m_lock);
        if (forcedDecision)
            co_return *forcedDecision;
        const auto [record, isNew] = m_records.try_emplace(key);
        if (isNew) {
            record->second.digest = digest;
            co_return RecordStarted {};
        }
        if (record->second.digest != digest)
            co_return RecordMismatch {};
        if (record->second.response)
            co_return RecordDone { *record->second.response };
        co_return RecordInProgress { std::chrono::milliseconds(300) };
    }

    auto finish(HttpClient&, std::string key, std::string, StoredResponse response) -> boost::asio::awaitable<bool> override
    {
        const std::lock_guard guard(m_lock);
        if (canFinish)
            m_records[key].response = std::move(response);
        co_return canFinish;
    }

    auto abandon(HttpClient&, std::string key, std::string) -> boost::asio::awaitable<bool> override
    {
        const std::lock_guard guard(m_lock);
        co_return m_records.erase(key) > 0;
    }

    auto size() const -> std::size_t
    {
        const std::lock_guard guard(m_lock);
        return m_records.size();
    }

private:
    struct Record {
        std::string digest;
        std::optional<StoredResponse> response;
    };

    mutable std::mutex m_lock;
    std::map<std::string, Record> m_records;
};

}
