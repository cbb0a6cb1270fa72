#pragma once

/// The event log of a process: every event is written as one log line and kept in a bounded
/// ring, from which the event time line over all processes is merged. Instances have no disks,
/// so the ring is what an operator can still read after the fact.

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

    /// @param instance the identifier that every event carries.
    /// @param capacity how many events are kept.
    explicit EventLog(std::string instance, std::size_t capacity = defaultCapacity);

    /// @return lines that were left out because too many of their kind came at once.
    auto droppedLines() const -> std::uint64_t;

    /// Events below this level are neither kept nor written.
    auto setMinimumLevel(LogLevel lowest) -> void { m_minimumLevel = lowest; }

    /// Records an event at the current hybrid time and writes its log line.
    auto record(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void;
    auto record(LogLevel level, std::string_view event, std::span<const LogField> fields) -> void;

    /// @param sequence the last event that the caller has.
    /// @param limit the most events to return.
    /// @return kept events with a greater sequence number, oldest first.
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
    LogRateLimiter m_rate;
    std::uint64_t m_droppedLines = 0;
    std::deque<LoggedEvent> m_events;
};

}
