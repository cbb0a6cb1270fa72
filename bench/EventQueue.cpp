#include "EventQueue.h"

#include <algorithm>
#include <utility>

namespace jayhold::bench {

auto EventQueue::at(TimePoint time, Callback callback) -> void
{
    m_entries.push({ std::max(time, m_now), m_order++, std::move(callback) });
}

auto EventQueue::runUntil(TimePoint end) -> void
{
    while (!m_entries.empty() && m_entries.top().time <= end) {
        // top() returns a const reference. Moving from it is safe because the entry is popped before
        // the queue compares it again.
        auto entry = std::move(const_cast<Entry&>(m_entries.top()));
        m_entries.pop();
        m_now = entry.time;
        entry.callback();
    }
    m_now = std::max(m_now, end);
}

}
