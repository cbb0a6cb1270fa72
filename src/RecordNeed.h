#pragma once

/// Whether a new stream has to be recorded in the store with its software version.

#include <cstdint>

namespace jayhold {

enum class RecordNeed : std::uint8_t {
    /// The state of the service says its version.
    None,
    /// The record is written, but the first event waits for it only for a limited time, because a stream without a
    /// record is not taken up.
    Bounded,
    /// No event may reach the caller before the record is in the store, because a stream without a record would be
    /// attributed to another version.
    Strict,
};

}
