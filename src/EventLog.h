#pragma once

/// The event log of a process. Every event is written as one log line and kept in a ring buffer,
/// from which the event timeline of all processes is merged. Instances have no disks, so operators
/// read past events from the ring buffer.

#include "HybridClock.h"
#include "LogLine.h"
#include "LogRateLimiter.h"
#include "LoggedEvent.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

class EventLog {
public:
    static constexpr std::size_t defaultCapacity = 16'384;

    /// @param instance identifier of the instance, which every event carries.
    /// @param capacity maximum number of events in the ring buffer.
    explicit EventLog(std::string instance, std::size_t capacity = defaultCapacity);

    /// @return number of log lines that the rate limiter has dropped.
    auto droppedLines() const -> std::uint64_t;

    /// Events below this level are neither stored nor written.
    auto setMinimumLevel(LogLevel minimumLevel) -> void { m_minimumLevel = minimumLevel; }

    /// Records an event at the current hybrid time and writes its log line.
    auto record(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void;
    auto record(LogLevel level, std::string_view event, std::span<const LogField> fields) -> void;

    /// @param sequence sequence number of the last event that the caller has.
    /// @param limit maximum number of events to return.
    /// @return events in the ring buffer with a greater sequence number, oldest first.
    auto after(std::uint64_t sequence, std::size_t limit) const -> std::vector<LoggedEvent>;

    auto clock() -> HybridClock& { return m_clock; }
    auto instance() const -> const std::string& { return m_instance; }

private:
    const std::string m_instance;
    const std::size_t m_capacity;
    HybridClock m_clock;
    std::atomic<LogLevel> m_minimumLevel { LogLevel::Debug };
    mutable std::mutex m_lock;
    std::uint64_t m_lastSequence = 0;
    LogRateLimiter m_rateLimiter;
    std::uint64_t m_droppedLines = 0;
    std::deque<LoggedEvent> m_events;
};

}
