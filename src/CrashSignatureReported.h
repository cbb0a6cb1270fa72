#pragma once

/// Event: a peer has identified a request that crashes backend servers.

#include <cstdint>

namespace jayhold {

struct CrashSignatureReported {
    std::uint64_t signature;
};

}
