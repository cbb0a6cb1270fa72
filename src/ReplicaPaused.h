#pragma once

/// Event: a replica wants no requests from this instance for some time.

#include "Identifiers.h"
#include "Time.h"

namespace jayhold {

struct ReplicaPaused {
    ReplicaId replica;
    /// The replica gets nothing before this time. Afterwards one request goes first, and others follow when it
    /// has succeeded.
    TimePoint until;
    /// End of the time that the replica has asked for. If it is after `until`, only one request may go there between
    /// the two unless that one succeeds.
    TimePoint askedUntil;
};

}
