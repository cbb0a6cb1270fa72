#pragma once

/// Event: the caller has disconnected. Everything reserved for the request is released.

#include "Identifiers.h"

namespace jayhold {

struct RequestCancelled {
    RequestId request;
};

}
