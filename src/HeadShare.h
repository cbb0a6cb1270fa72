#pragma once

/// The bytes that a connection holds of a RequestBudget for itself and the head of its request, released with the object.

#include "RequestBudget.h"

#include <memory>

namespace jayhold {

class HeadShare {
public:
    /// @param budget null if nothing is limited.
    explicit HeadShare(std::shared_ptr<RequestBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~HeadShare() { resize(0); }
    HeadShare(const HeadShare&) = delete;
    auto operator=(const HeadShare&) -> HeadShare& = delete;

    /// Changes the bytes held.
    /// @return false if there is no room; the bytes are unchanged then.
    auto resize(std::size_t bytes) -> bool
    {
        if (m_budget && !m_budget->resizeHead(m_bytes, bytes))
            return false;
        m_bytes = bytes;
        return true;
    }

private:
    const std::shared_ptr<RequestBudget> m_budget;
    std::size_t m_bytes = 0;
};

}
