#pragma once

/// What a request has to do with the crash of a replica that ran it.

#include <cstdint>

namespace jayhold {

enum class CrashSuspicion : std::uint8_t {
    /// It ran into no crash, or into one that another request is to blame for.
    None,
    /// It was among the requests in flight at a crash; it is run again in isolation.
    Suspect,
    /// It was the one isolated request at its second crash.
    Confirmed,
};

}
