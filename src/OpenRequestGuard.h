#pragma once

/// Counts the requests in progress at an instance.

#include <atomic>
#include <cstddef>

namespace jayhold {

/// Counts a request for as long as it is in progress.
class OpenRequestGuard {
public:
    explicit OpenRequestGuard(std::atomic<std::size_t>& count)
        : m_count(count)
        , m_countOnArrival(++count)
    {
    }
    ~OpenRequestGuard() { --m_count; }
    OpenRequestGuard(const OpenRequestGuard&) = delete;
    auto operator=(const OpenRequestGuard&) -> OpenRequestGuard& = delete;

    /// @return the number of requests in progress when this one arrived, including itself.
    auto countOnArrival() const -> std::size_t { return m_countOnArrival; }

private:
    std::atomic<std::size_t>& m_count;
    const std::size_t m_countOnArrival;
};

}
