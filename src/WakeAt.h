#pragma once

/// Action: send a Tick at the given time. A later WakeAt replaces an earlier one.

#include "Time.h"

namespace jayhold {

struct WakeAt {
    TimePoint time;
};

}
