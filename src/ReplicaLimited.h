#pragma once

/// Event: a replica takes a limited number of calls, or any number again.

#include "CallRate.h"
#include "Identifiers.h"

#include <optional>

namespace jayhold {

struct ReplicaLimited {
    ReplicaId replica;
    /// The calls that this instance may send to it; absent if they are not limited.
    std::optional<CallRate> rate;
};

}
