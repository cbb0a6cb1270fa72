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
    /// Whether the error is that a resumed response has ended without an event. Nothing may be left, or the engine may be
    /// broken.
    bool isEmpty = false;
};

}
