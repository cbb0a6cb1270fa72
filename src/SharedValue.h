#pragma once

/// A value that one thread replaces as a whole while others read it.

#include <memory>
#include <mutex>
#include <utility>

namespace jayhold {

/// Used instead of std::atomic<std::shared_ptr>, whose load() in GCC 12 unlocks without release order and so races with
/// store().
template <typename T>
class SharedValue {
public:
    explicit SharedValue(std::shared_ptr<const T> value)
        : m_value(std::move(value))
    {
    }

    /// @return the value, which stays valid when another one is stored.
    auto load() const -> std::shared_ptr<const T>
    {
        const std::lock_guard guard(m_lock);
        return m_value;
    }

    auto store(std::shared_ptr<const T> value) -> void
    {
        const std::lock_guard guard(m_lock);
        m_value.swap(value);
    }

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const T> m_value;
};

}
