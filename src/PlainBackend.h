#pragma once

/// A backend server of a plain service, with what this instance knows of its health.

#include "BackendServer.h"
#include "Time.h"

#include <cstdint>

namespace jayhold {

struct PlainBackend {
    BackendServer server;
    bool isLocal = false;
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0;
    std::uint32_t consecutiveFailures = 0;
    /// Until when it gets no calls; one call then probes it.
    TimePoint ejectedUntil {};
};

}
