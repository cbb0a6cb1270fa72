#pragma once

/// A queue of log lines for a file descriptor that may not be read for a while. No call blocks: lines
/// that do not fit are dropped and counted, and the count is written once the queue is empty again.

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace jayhold {

class LogQueue {
public:
    /// @param descriptor file descriptor to which the lines are written.
    /// @param capacity capacity in bytes. Lines of failures may use all of it, other lines half.
    LogQueue(int descriptor, std::size_t capacity);
    ~LogQueue() { flush(); }
    LogQueue(const LogQueue&) = delete;
    auto operator=(const LogQueue&) -> LogQueue& = delete;

    /// Adds a line and writes as much as possible without blocking.
    auto push(std::string_view line, bool isFailure) -> void;

    /// Writes as much as possible without blocking.
    auto flush() -> void;

    /// @return number of lines dropped so far.
    auto droppedLines() const -> std::uint64_t;

private:
    auto flushLocked() -> void;
    auto append(std::string_view line) -> void;

    const int m_descriptor;
    const std::size_t m_capacity;
    mutable std::mutex m_lock;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    /// Number of bytes of the first line that have been written.
    std::size_t m_written = 0;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDrops = 0;
};

}
