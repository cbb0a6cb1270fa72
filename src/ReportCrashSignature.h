#pragma once

/// Action: tell the peers of a request that crashes backend servers.

#include <cstdint>

namespace jayhold {

struct ReportCrashSignature {
    std::uint64_t signature;
};

}
