#pragma once

/// Action: report to the peers that a request was in flight on a replica that crashed.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct ReportCrash {
    std::uint64_t signature;
    ReplicaId replica;
};

}
