#pragma once

/// The part of a ResponseBudget that one response takes, released with the object.

#include "ResponseBudget.h"

#include <memory>

namespace jayhold {

class ResponseShare {
public:
    /// @param server address of the server that sends the response, for logs.
    /// @param end called at most once, on any thread, if the response has to end for the sake of another one.
    ResponseShare(std::shared_ptr<ResponseBudget> budget, std::string server, std::function<void()> end)
        : m_budget(std::move(budget))
        , m_id(m_budget->add(std::move(server), std::move(end)))
    {
    }
    ~ResponseShare() { m_budget->remove(m_id); }
    ResponseShare(const ResponseShare&) = delete;
    auto operator=(const ResponseShare&) -> ResponseShare& = delete;

    /// As ResponseBudget::resize().
    auto resize(std::size_t bytes) -> bool { return m_budget->resize(m_id, bytes); }

    /// As ResponseBudget::complete().
    auto complete() -> bool { return m_budget->complete(m_id); }

private:
    const std::shared_ptr<ResponseBudget> m_budget;
    const ResponseBudget::ResponseId m_id;
};

}
