#pragma once

/// Action: report the signature of a request that crashes backend servers to the peers.

#include <cstdint>

namespace jayhold {

struct ReportCrashSignature {
    std::uint64_t signature;
};

}
