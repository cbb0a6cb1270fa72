#pragma once

/// In-process fake of the platform's object store that implements its published protocol: paged lists, watches and
/// conditional updates.

#include "HttpServer.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jayhold {

class FakeObjectStore {
public:
    explicit FakeObjectStore(IoThreads& threads);

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }
    auto put(const std::string& kind, const std::string& name, boost::json::value spec) -> void;
    /// Stores an object as another writer may leave it.
    /// @param spec text of its value, which need not be valid JSON.
    auto putText(const std::string& kind, const std::string& name, std::string spec) -> void;
    /// @param item text of the object with its metadata.
    auto putItemText(const std::string& kind, const std::string& name, std::string item) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;
    /// @return whether the JSON text of an object of the kind contains the text.
    auto contains(const std::string& kind, std::string_view text) const -> bool;
    /// Discards the log of changes without notifying pending watches.
    auto compact() -> void;
    /// Remembers the current state for restore().
    auto saveCopy() -> void;
    /// Goes back to the saved copy in a new history: later writes are gone, revisions go back and the log of changes
    /// is empty.
    auto restore() -> void;
    /// Restores the saved copy just before a call is answered.
    /// @param call number of the call, counted as by calls().
    auto restoreAtCall(int call) -> void { m_restoreAtCall = call; }
    auto history() const -> std::int64_t { return m_history; }
    auto revision() const -> std::int64_t;
    /// Every call is answered with 503 while the store is down.
    auto setDown(bool isDown) -> void { m_isDown = isDown; }
    /// While set, calls are answered with JSON that contains no valid object.
    auto setMalformed(bool isMalformed) -> void { m_isMalformed = isMalformed; }
    auto calls() const -> int { return m_calls; }

private:
    struct Object {
        std::string kind;
        std::string name;
        std::int64_t revision = 0;
        boost::json::value spec;
        bool isDeleted = false;
        /// Text of the value instead of spec, unless empty.
        std::string specText;
        /// Text of the object instead of all of these, unless empty.
        std::string itemText;
    };

    /// Adds the number of the history, which all responses of the store name.
    auto respond(HttpExchange& exchange, unsigned status, std::string body) -> boost::asio::awaitable<void>;
    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>;
    auto readOne(HttpExchange& exchange, const std::string& kind, const std::string& name) -> boost::asio::awaitable<void>;
    auto list(HttpExchange& exchange, const std::string& kind, const std::string& after) -> boost::asio::awaitable<void>;
    auto watch(HttpExchange& exchange, const std::string& kind, std::int64_t revision, Duration wait) -> boost::asio::awaitable<void>;
    auto write(HttpExchange& exchange, const std::string& kind) -> boost::asio::awaitable<void>;
    static auto toText(const Object& object) -> std::string;
    auto store(Object object) -> void;

    mutable std::mutex m_lock;
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::vector<Object> m_changes;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0;
    std::map<std::pair<std::string, std::string>, Object> m_copiedObjects;
    std::int64_t m_copiedRevision = 1;
    std::atomic<std::int64_t> m_history { 1 };
    std::atomic<bool> m_isDown { false };
    std::atomic<bool> m_isMalformed { false };
    std::atomic<int> m_calls { 0 };
    std::atomic<int> m_restoreAtCall { 0 };
    HttpServer m_server;
};

}
