#pragma once

/// A replica of a model service, as PROTOCOL.md describes it: slots, reservations, prefills with handles, streams that
/// may be resumed at Last-Event-Id, and orders. It can end and start again under its id, as another process.

#include "Fleet.h"
#include "Http.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

struct EngineSettings {
    std::string id;
    std::string service;
    std::string zone;
    /// The stage at the start; an order may change it.
    std::string phase;
    Address address;
    int slots = 16;
    /// Events of a whole answer, and the time between two.
    int events = 72;
    int eventMs = 35;
    int prefillMs = 96;
    int kvCapacity = 42'121;
    double roleSwitchS = 6;
    /// Whether a run ends when its connection closes. PROTOCOL.md says so of most replicas.
    bool dropsClosed = true;
};

/// When each engine was at work on each request.
class RunLog {
public:
    auto add(const std::string& request, const std::string& engine, double begin, double end) -> void;
    /// @return the requests that were still at work at an engine for longer than the time after another one had begun.
    auto countOverlaps(double seconds) -> int;

private:
    struct Run {
        std::string engine;
        double begin;
        double end;
    };

    std::mutex m_lock;
    std::map<std::string, std::vector<Run>> m_runs;
};

class Engine {
public:
    Engine(EngineSettings settings, Record& record);

    /// Ends the process: open connections end, and new ones are refused.
    auto end() -> void;
    /// Starts another process under the same id, with a software version.
    auto start(const std::string& version) -> void;
    /// Lets all streams fall silent, or go on.
    auto setSilent(bool isSilent) -> void { m_isSilent = isSilent; }
    /// Lets the engine fall silent, once, when a stream has made its last event. The end of the stream comes one step
    /// after that event.
    auto fallSilentAtEnd(int silentMs) -> void { m_silentAtEndMs = silentMs; }
    auto observe(RunLog* runs) -> void { m_runs = runs; }
    /// @param onChange called when an order has changed the stage, and with it the entry.
    auto onChange(std::function<void()> onChange) -> void { m_onChange = std::move(onChange); }
    /// @return the entry in the store, as JSON.
    auto entry() const -> std::string;
    auto settings() const -> const EngineSettings& { return m_settings; }

private:
    auto serve(Connection& connection) -> void;
    auto answer(Connection& connection, const Message& message, int process) -> bool;
    auto control(const Message& message) -> std::string;
    auto stream(Connection& connection, const Message& message, int process) -> bool;
    auto version() const -> std::string;
    auto phase() const -> std::string;
    auto takeHold(const Message& message) -> std::string;
    auto order(const Message& message) -> std::string;
    auto switchPhase(std::string phase, int process) -> void;
    /// @return whether the stream has got a slot and memory, perhaps those of its reservation.
    auto takeSlot(const std::string& hold) -> bool;
    auto dropExpiredLocked() -> void;

    EngineSettings m_settings;
    Record& m_record;
    mutable std::mutex m_lock;
    std::string m_version;
    std::string m_phase;
    std::int64_t m_born = 0;
    struct Hold {
        int tokens;
        double until;
    };
    std::map<std::string, Hold> m_holds;
    int m_kvUsed = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    bool m_isSwitching = false;
    std::function<void()> m_onChange = [] {};
    /// Number of the process; 0 while none runs.
    std::atomic<int> m_process { 0 };
    std::atomic<int> m_lastProcess { 0 };
    std::atomic<int> m_running { 0 };
    std::atomic<std::int64_t> m_lastName { 0 };
    std::atomic<bool> m_isSilent { false };
    std::atomic<int> m_silentAtEndMs { 0 };
    RunLog* m_runs = nullptr;
    std::unique_ptr<Server> m_server;
};

}
