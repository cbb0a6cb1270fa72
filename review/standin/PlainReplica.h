#pragma once

/// A replica of a plain service, as PROTOCOL.md describes it: it runs requests in slots, queues a few more and rejects
/// the rest with Not-Executed, echoes the request's id, signs its answers, and answers 421 if another replica is
/// expected.

#include "Fleet.h"
#include "Http.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace review {

struct PlainReplicaSettings {
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    int slots = 6;
    int queue = 24;
    int workMs = 15;
    int answerBytes = 800;
};

class PlainReplica {
public:
    /// @param onRun called with the id of each request that begins to run.
    PlainReplica(PlainReplicaSettings settings, Record& record, std::function<void(const std::string&)> onRun);
    /// @return the entry in the store, as JSON.
    auto entry() const -> std::string;
    auto settings() const -> const PlainReplicaSettings& { return m_settings; }

private:
    auto serve(Connection& connection) -> void;
    auto answer(const Message& message) -> std::string;
    auto takeSlot() -> bool;

    PlainReplicaSettings m_settings;
    Record& m_record;
    std::function<void(const std::string&)> m_onRun;
    std::int64_t m_born;
    std::mutex m_lock;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    std::unique_ptr<Server> m_server;
};

}
