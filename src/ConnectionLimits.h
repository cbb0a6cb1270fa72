#pragma once

/// Limits on what callers, probes, servers and unlisted peers may take of an instance. No client within the limits of the
/// configuration reaches the defaults.

#include <cstddef>

namespace jayhold {

struct ConnectionLimits {
    /// Maximum number of header lines of a request or a response. A head of 16 KB can't have more.
    std::size_t headerLines = 4'096;
    /// Descriptors that the process may use for sockets; 0 if the number is not known.
    std::size_t sockets = 0;
    /// Maximum number of callers' connections; 0 for a part of the sockets.
    std::size_t callerConnections = 0;
    /// Maximum number of peers that are not in the list of instances; more than the instances of the largest fleet.
    std::size_t unlistedPeers = 1'024;
};

}
