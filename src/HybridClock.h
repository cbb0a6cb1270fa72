#pragma once

/// The hybrid logical clock of a process. It is advanced by local events and by the timestamps
/// that arrive with messages, and serves the causal order of the event time line.

#include "HybridTime.h"

#include <mutex>

namespace jayhold {

/// HTTP header that carries the sender's hybrid time on messages between jayhold's processes.
inline constexpr std::string_view hybridTimeHeader = "X-Jayhold-Time";

class HybridClock {
public:
    /// @return the timestamp of a new local event, greater than every earlier one.
    auto tick() -> HybridTime;

    /// Takes note of a received timestamp; later ticks are greater than it. Timestamps more than
    /// a minute ahead of the local clock are ignored, so that one broken clock can't spread.
    auto observe(HybridTime remote) -> void;

    /// The same with a given wall clock, for tests.
    auto tickAt(std::int64_t wallMicroseconds) -> HybridTime;
    auto observeAt(HybridTime remote, std::int64_t wallMicroseconds) -> void;

private:
    std::mutex m_lock;
    HybridTime m_last;
};

}
