#include "EventLog.h"

#include "Time.h"

#include <algorithm>

namespace jayhold {

EventLog::EventLog(std::string instance, std::size_t capacity)
    : m_instance(std::move(instance))
    , m_capacity(capacity)
{
}

auto EventLog::record(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void
{
    record(level, event, std::span(fields.begin(), fields.size()));
}

auto EventLog::record(LogLevel level, std::string_view event, std::span<const LogField> fields) -> void
{
    if (level < m_minimumLevel.load(std::memory_order_relaxed))
        return;
    std::vector<LogField> allFields;
    allFields.reserve(fields.size() + 1);
    allFields.emplace_back("instance", m_instance);
    allFields.insert(allFields.end(), fields.begin(), fields.end());
    std::string line;
    std::uint64_t droppedLines = 0;
    {
        // The timestamp is taken under the lock, so that sequence order is time order.
        const std::lock_guard guard(m_lock);
        const auto time = m_clock.tick();
        const auto now = monotonicNow();
        // Warnings and errors are not rate-limited; their number is bounded by that of the requests.
        if (level >= LogLevel::Warning || admitLine(m_rateLimiter, now, event)) {
            line = formatLogLine(time, event, allFields);
            droppedLines = takeDroppedLines(m_rateLimiter, event);
        } else {
            ++m_droppedLines;
        }
        m_events.push_back({ ++m_lastSequence, time, m_instance, std::string(event), { allFields.begin() + 1, allFields.end() } });
        if (m_events.size() > m_capacity)
            m_events.pop_front();
    }
    if (line.empty())
        return;
    if (droppedLines > 0)
        writeLogLine(LogLevel::Warning, "event=log_lines_left_out instance=" + m_instance + " reason=rate of=" + std::string(event) + " count=" + std::to_string(droppedLines));
    writeLogLine(level, line);
}

auto EventLog::droppedLines() const -> std::uint64_t
{
    const std::lock_guard guard(m_lock);
    return m_droppedLines;
}

auto EventLog::after(std::uint64_t sequence, std::size_t limit) const -> std::vector<LoggedEvent>
{
    const std::lock_guard guard(m_lock);
    const auto first = std::ranges::upper_bound(m_events, sequence, {}, &LoggedEvent::sequence);
    const auto available = static_cast<std::size_t>(m_events.end() - first);
    return { first, first + static_cast<std::ptrdiff_t>(std::min(limit, available)) };
}

}
