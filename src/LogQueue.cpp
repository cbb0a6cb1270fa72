#include "LogQueue.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace jayhold {

namespace {

/// A writable pipe accepts this many bytes without blocking.
constexpr std::size_t maxWriteBytes = PIPE_BUF;

auto isWritable(int descriptor) -> bool
{
    pollfd entry { .fd = descriptor, .events = POLLOUT, .revents = 0 };
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}

LogQueue::LogQueue(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
}

auto LogQueue::push(std::string_view line, bool isFailure) -> void
{
    const std::lock_guard guard(m_lock);
    const auto limit = isFailure ? m_capacity : m_capacity / 2;
    if (m_bytes + line.size() > limit)
        ++m_droppedLines;
    else
        append(line);
    flushLocked();
}

auto LogQueue::flush() -> void
{
    const std::lock_guard guard(m_lock);
    flushLocked();
}

auto LogQueue::droppedLines() const -> std::uint64_t
{
    const std::lock_guard guard(m_lock);
    return m_droppedLines;
}

auto LogQueue::append(std::string_view line) -> void
{
    m_bytes += line.size();
    m_lines.emplace_back(line);
}

auto LogQueue::flushLocked() -> void
{
    while (!m_lines.empty() && isWritable(m_descriptor)) {
        const auto rest = std::string_view(m_lines.front()).substr(m_written);
        const auto size = ::write(m_descriptor, rest.data(), std::min(rest.size(), maxWriteBytes));
        if (size <= 0)
            return;
        m_written += static_cast<std::size_t>(size);
        if (m_written < m_lines.front().size())
            continue;
        m_bytes -= m_lines.front().size();
        m_lines.pop_front();
        m_written = 0;
        if (m_lines.empty() && m_droppedLines > m_reportedDrops) {
            append("level=W event=log_lines_left_out reason=output_not_read count=" + std::to_string(m_droppedLines - m_reportedDrops) + "\n");
            m_reportedDrops = m_droppedLines;
        }
    }
}

}
