#pragma once

/// Log lines on their way to a file descriptor that may not be read for a while. Nothing here waits:
/// lines that find no room are left out and counted, and the count is written when there is room again.

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace jayhold {

class LogQueue {
public:
    /// @param descriptor where the lines go.
    /// @param capacity bytes that may wait. Lines of failures may take all of it, others half.
    LogQueue(int descriptor, std::size_t capacity);
    ~LogQueue() { flush(); }
    LogQueue(const LogQueue&) = delete;
    auto operator=(const LogQueue&) -> LogQueue& = delete;

    /// Adds a line and writes as much as goes without waiting.
    auto push(std::string_view line, bool isFailure) -> void;

    /// Writes as much as goes without waiting.
    auto flush() -> void;

    /// @return lines that were left out so far.
    auto droppedLines() const -> std::uint64_t;

private:
    auto flushLocked() -> void;
    auto append(std::string_view line) -> void;

    const int m_descriptor;
    const std::size_t m_capacity;
    mutable std::mutex m_lock;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    /// Bytes of the first line that are written already.
    std::size_t m_written = 0;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDrops = 0;
};

}
