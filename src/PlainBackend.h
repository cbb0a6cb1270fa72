#pragma once

/// A backend server of a plain service, and its health as this instance observes it.

#include "BackendServer.h"
#include "CallAllowance.h"
#include "ServerSpeed.h"
#include "Time.h"

#include <cstdint>
#include <optional>

namespace jayhold {

struct PlainBackend {
    BackendServer server;
    bool isLocal = false;
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0;
    /// Calls in flight that may crash the server.
    std::uint32_t suspects = 0;
    /// The calls that this instance may send, if the server has named a limit.
    std::optional<CallAllowance> allowance {};
    /// Speed of the process at the calls of its service.
    ServerSpeed speed {};
    std::uint32_t consecutiveFailures = 0;
    /// Whether the last contact of this instance with the process was an answer.
    bool isAnswering = false;
    /// End of the ejection. Until then the server gets no calls; afterwards a single call probes it.
    TimePoint ejectedUntil {};
    /// The server has asked for a pause and gets no calls before this time.
    TimePoint pausedUntil = TimePoint::min();
    /// End of the time that the server has asked for, which may be later than the end of the pause.
    TimePoint pauseAskedUntil = TimePoint::min();
    /// Whether no call has succeeded since the last pause. The server gets one at a time until then.
    bool isReturning = false;
    /// Whether the call that was sent first after the pause is in flight.
    bool hasFirstCall = false;
};

}
