#pragma once

/// The platform's metadata store, as far as PROTOCOL.md describes it: objects by kind and name, conditional writes,
/// lists and watches. It answers after 4 ms.

#include "Http.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace review {

class Store {
public:
    explicit Store(const Address& address);

    /// Writes an object as the operator or a replica does.
    /// @param spec JSON text.
    auto put(const std::string& kind, const std::string& name, const std::string& spec) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;
    /// @return the spec, or nothing.
    auto spec(const std::string& kind, const std::string& name) -> std::string;
    /// Resets the connections of all requests.
    auto setAway(bool isAway) -> void { m_isAway = isAway; }
    auto isAway() const -> bool { return m_isAway; }
    auto address() const -> const Address& { return m_server->address(); }

private:
    struct Object {
        std::int64_t revision = 0;
        std::int64_t createRevision = 0;
        std::string spec;
        std::string status = "null";
    };
    struct Event {
        std::string kind;
        std::int64_t revision = 0;
        std::string text;
    };

    auto serve(Connection& connection) -> void;
    auto answer(const Message& message) -> std::string;
    auto list(const std::string& kind, const std::string& after) -> std::string;
    auto watch(const std::string& kind, std::int64_t after, int waitMs) -> std::string;
    auto write(const Message& message, const std::string& kind, const std::string& name) -> std::string;
    auto putLocked(const std::string& kind, const std::string& name, const std::string& spec) -> void;
    static auto objectText(const std::string& name, const Object& object) -> std::string;

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::int64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::atomic<bool> m_isAway { false };
    std::unique_ptr<Server> m_server;
};

}
