#pragma once

/// What a load message says about its sender.

#include <string>

namespace jayhold {

struct PeerPresence {
    std::string instance;
    /// Empty if the message does not state it.
    std::string availabilityZone;
    bool isDraining = false;
};

}
