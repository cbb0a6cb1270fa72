#pragma once

/// One event of a process, as stored for the event timeline.

#include "HybridTime.h"
#include "LogField.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

struct LoggedEvent {
    /// Position in the log of its process, from 1.
    std::uint64_t sequence;
    HybridTime time;
    /// The instance that logged the event.
    std::string instance;
    std::string event;
    std::vector<LogField> fields;
};

}
