#pragma once

/// Writes changes of the lists of blocked prompt parts to the platform's store. Every instance that knows
/// of a change tries to write it after a random delay, and stops if it reads that another one has done so.

#include "BlockedParts.h"
#include "EventLog.h"
#include "IoThreads.h"
#include "ObjectStore.h"
#include "UpdateBlockedPart.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace jayhold {

struct BlockedPartsCallbacks {
    /// A list has been written with the given revision.
    std::function<void(std::int64_t revision)> written;
    /// This instance may run one request with the part of a prompt.
    std::function<void(const std::string& service, std::uint64_t part)> trialAllowed;
};

class BlockedPartsWriter : public std::enable_shared_from_this<BlockedPartsWriter> {
public:
    /// @param kind kind of the store objects, one for each service.
    BlockedPartsWriter(IoThreads& threads, ObjectStore& store, std::string kind, EventLog& log, BlockedPartsCallbacks callbacks);

    /// Schedules a change. A later one of the same part replaces it. Thread-safe.
    auto update(const std::string& service, const UpdateBlockedPart& change) -> void;

    /// Schedules the write of parts that a restore of the store may have lost. Parts of the store's list stay, and the
    /// higher number of trials counts. Must be called on the first I/O thread.
    auto restore(const std::string& service, std::vector<ListedPart> parts) -> void;

    /// Records the list that has been read from the store. Must be called on the first I/O thread.
    auto handleList(const std::string& service, std::vector<ListedPart> parts) -> void;

private:
    using Key = std::pair<std::string, std::uint64_t>;

    auto writeLost(std::string service, std::vector<ListedPart> parts) -> boost::asio::awaitable<void>;
    /// @return the time after which to try again, or nothing if the list contains the parts.
    auto writeLostOnce(const std::string& service, const std::vector<ListedPart>& parts) -> boost::asio::awaitable<std::optional<Duration>>;
    /// Logs a failed call.
    /// @return the time after which to try again.
    auto logFailure(const std::string& service, const StoreError& error) -> Duration;
    auto logWritten(const std::string& service, std::size_t parts, std::int64_t revision) -> void;
    auto write(Key key) -> boost::asio::awaitable<void>;
    /// @return the time after which to try again, or nothing if the change is done or has no effect.
    auto writeOnce(const Key& key, UpdateBlockedPart change) -> boost::asio::awaitable<std::optional<Duration>>;

    IoThreads& m_threads;
    ObjectStore& m_store;
    const std::string m_kind;
    EventLog& m_log;
    const BlockedPartsCallbacks m_callbacks;
    std::map<std::string, std::vector<ListedPart>> m_listed;
    std::map<Key, UpdateBlockedPart> m_pending;
};

}
