#pragma once

/// Event: time has passed, either because a WakeAt action asked for it or periodically.

namespace jayhold {

struct Tick {
};

}
