#pragma once

/// Action: log that parts of prompts at a crash are not compared, because the memory for them is used up.

#include <cstdint>

namespace jayhold {

struct CrashEvidenceDropped {
    /// Identifies the process of the engine that crashed.
    std::uint64_t process = 0;
    std::uint64_t parts = 0;
};

}
