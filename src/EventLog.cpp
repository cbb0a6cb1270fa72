#include "EventLog.h"

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
    if (level < m_lowest.load(std::memory_order_relaxed))
        return;
    std::vector<LogField> kept;
    kept.reserve(fields.size() + 1);
    kept.emplace_back("instance", m_instance);
    kept.insert(kept.end(), fields.begin(), fields.end());
    std::string line;
    {
        // The timestamp is taken under the lock, so that sequence order is time order.
        const std::lock_guard guard(m_lock);
        const auto time = m_clock.tick();
        line = formatLogLine(time, event, kept);
        m_events.push_back({ ++m_lastSequence, time, m_instance, std::string(event), { kept.begin() + 1, kept.end() } });
        if (m_events.size() > m_capacity)
            m_events.pop_front();
    }
    writeLogLine(level, line);
}

auto EventLog::after(std::uint64_t sequence, std::size_t limit) const -> std::vector<LoggedEvent>
{
    const std::lock_guard guard(m_lock);
    const auto first = std::ranges::upper_bound(m_events, sequence, {}, &LoggedEvent::sequence);
    const auto available = static_cast<std::size_t>(m_events.end() - first);
    return { first, first + static_cast<std::ptrdiff_t>(std::min(limit, available)) };
}

}
