#pragma once

/// How the relay of one decode attempt ended.

#include "EngineError.h"

#include <optional>

namespace jayhold {

struct RelayResult {
    /// Absent where the answer is complete.
    std::optional<EngineError> error;
    /// Whether the caller is gone; the error is then without meaning.
    bool isCallerGone = false;
};

}
