#pragma once

/// The part of a RequestBudget that one body takes, or its place in the line, released with the object.

#include "RequestBudget.h"

#include <memory>

namespace jayhold {

class RequestShare {
public:
    RequestShare(std::shared_ptr<RequestBudget> budget, std::size_t bytes)
        : m_budget(std::move(budget))
        , m_id(m_budget->add(bytes))
    {
    }
    ~RequestShare() { m_budget->remove(m_id); }
    RequestShare(const RequestShare&) = delete;
    auto operator=(const RequestShare&) -> RequestShare& = delete;

    /// As RequestBudget::tryTake().
    auto tryTake() -> bool { return m_budget->tryTake(m_id); }
    /// As RequestBudget::shrink().
    auto shrink(std::size_t bytes) -> void { m_budget->shrink(m_id, bytes); }

private:
    const std::shared_ptr<RequestBudget> m_budget;
    const RequestBudget::BodyId m_id;
};

}
