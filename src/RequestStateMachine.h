#pragma once

/// The state machine of a model request. It decides nothing: it rejects steps that can't follow
/// from the present state, such as an answer that comes late or twice, or a token after the end.

#include "RequestTransition.h"

#include <memory>
#include <string_view>

namespace jayhold {

class RequestStateMachine {
public:
    RequestStateMachine();
    ~RequestStateMachine();
    RequestStateMachine(const RequestStateMachine&) = delete;
    auto operator=(const RequestStateMachine&) -> RequestStateMachine& = delete;

    /// Takes a step.
    /// @return whether the step is possible now; otherwise the state is unchanged.
    auto apply(RequestTransition step) -> bool;

    /// @return whether the caller has its final answer or is gone.
    auto hasEnded() const -> bool;

    /// @return the stable name of the state, for logs.
    auto stateName() const -> std::string_view;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

}
