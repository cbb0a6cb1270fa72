#pragma once

/// Event: the instance is shutting down. Requests that have not started are refused, the others finish.

namespace jayhold {

struct DrainStarted {
};

}
