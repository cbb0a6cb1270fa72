#pragma once

/// An engine's report on the role change orders that it received.

#include <cstdint>

namespace jayhold {

struct EngineOrderState {
    /// Number of orders that the engine has accepted since its start.
    std::int64_t sequence = 0;
    /// Whether an order is in progress.
    bool isBusy = false;
};

}
