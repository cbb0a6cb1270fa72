#pragma once

/// The hybrid logical clock of a process. Local events and the timestamps of received messages
/// advance it. It provides the causal order of the event timeline.

#include "HybridTime.h"

#include <mutex>

namespace jayhold {

/// HTTP header with the sender's hybrid time in messages between jayhold's processes.
inline constexpr std::string_view hybridTimeHeader = "X-Jayhold-Time";

class HybridClock {
public:
    /// @return the timestamp of a new local event, greater than every earlier one.
    auto tick() -> HybridTime;

    /// Merges a received timestamp; later ticks are greater than it. Timestamps more than a minute
    /// ahead of the local clock are ignored, so that one wrong clock does not advance all other
    /// clocks.
    auto observe(HybridTime remote) -> void;

    /// Same, with a given wall-clock time, for tests.
    auto tickAt(std::int64_t wallMicroseconds) -> HybridTime;
    auto observeAt(HybridTime remote, std::int64_t wallMicroseconds) -> void;

private:
    std::mutex m_lock;
    HybridTime m_last;
};

}
