#pragma once

/// How far a request is suspected of having crashed a replica that ran it.

#include <cstdint>

namespace jayhold {

enum class CrashSuspicion : std::uint8_t {
    /// The request was in flight at no crash, or only at crashes that another request is blamed for.
    None,
    /// The request was among those in flight at a crash. It runs again in isolation.
    Suspect,
    /// The request was the only isolated suspect at its second crash.
    Confirmed,
};

}
