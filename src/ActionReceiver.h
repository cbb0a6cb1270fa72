#pragma once

/// Receives the actions that the shard decides on for one request.

#include "DecisionAction.h"

namespace jayhold {

class ActionReceiver {
public:
    virtual ~ActionReceiver() = default;

    /// Accepts an action for the request. May be called on any thread and does not block.
    virtual auto deliver(const DecisionAction& action) -> void = 0;
};

}
