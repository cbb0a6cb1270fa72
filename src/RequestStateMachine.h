#pragma once

/// The state machine of a model request. It makes no decisions; it only rejects transitions that are
/// invalid in the current state, such as a late or duplicate result, or a token after the end.

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

    /// Applies a transition.
    /// @return whether the transition is valid in the current state; otherwise the state is unchanged.
    auto apply(RequestTransition step) -> bool;

    /// @return whether the caller has the final response or has disconnected.
    auto hasEnded() const -> bool;

    /// @return the stable name of the state, for logs.
    auto stateName() const -> std::string_view;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

}
