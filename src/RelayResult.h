#pragma once

/// The result of relaying one decode attempt.

#include "EngineError.h"

#include <optional>

namespace jayhold {

struct RelayResult {
    /// Absent if the response is complete.
    std::optional<EngineError> error;
    /// Whether the caller has disconnected; the error is meaningless then.
    bool isCallerDisconnected = false;
};

}
