#pragma once

/// Event: a peer has recognised a request that crashes backend servers.

#include <cstdint>

namespace jayhold {

struct SignatureReported {
    std::uint64_t signature;
};

}
