#pragma once

/// Where the decisions about one request are delivered.

#include "DecisionAction.h"

namespace jayhold {

class ActionReceiver {
public:
    virtual ~ActionReceiver() = default;

    /// Takes an action that concerns the request; called on any thread and never blocks.
    virtual auto deliver(const DecisionAction& action) -> void = 0;
};

}
