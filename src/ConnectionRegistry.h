#pragma once

/// The open connections of an HttpServer, through which connections that wait for a request can be
/// woken from any thread. Private to the HTTP library.

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace jayhold {

class ConnectionRegistry {
public:
    using Wake = std::function<void()>;

    /// @param wake called from any thread.
    /// @return the key for remove().
    auto add(Wake wake) -> std::uint64_t
    {
        const std::lock_guard guard(m_lock);
        m_wakes.emplace(++m_lastKey, std::move(wake));
        return m_lastKey;
    }

    auto remove(std::uint64_t key) -> void
    {
        const std::lock_guard guard(m_lock);
        m_wakes.erase(key);
    }

    auto wakeAll() -> void
    {
        std::vector<Wake> wakes;
        {
            const std::lock_guard guard(m_lock);
            for (const auto& [key, wake] : m_wakes)
                wakes.push_back(wake);
        }
        for (const auto& wake : wakes)
            wake();
    }

private:
    std::mutex m_lock;
    std::uint64_t m_lastKey = 0;
    std::map<std::uint64_t, Wake> m_wakes;
};

}
