#pragma once

/// What an engine says of the orders that it got.

#include <cstdint>

namespace jayhold {

struct EngineOrderState {
    /// Orders accepted since its start.
    std::int64_t sequence = 0;
    /// Whether it carries one out.
    bool isBusy = false;
};

}
