#pragma once

/// Counts the requests in progress at an instance.

#include <atomic>
#include <cstddef>

namespace jayhold {

/// Counts a request for as long as it is in progress.
class OpenRequestCount {
public:
    explicit OpenRequestCount(std::atomic<std::size_t>& count)
        : m_count(count)
        , m_position(++count)
    {
    }
    ~OpenRequestCount() { --m_count; }
    OpenRequestCount(const OpenRequestCount&) = delete;
    auto operator=(const OpenRequestCount&) -> OpenRequestCount& = delete;

    /// @return requests in progress when this one arrived, itself included.
    auto position() const -> std::size_t { return m_position; }

private:
    std::atomic<std::size_t>& m_count;
    const std::size_t m_position;
};

}
