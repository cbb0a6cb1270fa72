#pragma once

/// Event: time has passed, as requested by a WakeAt action or periodically.

namespace jayhold {

struct Tick {
};

}
