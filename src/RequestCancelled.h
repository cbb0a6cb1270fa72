#pragma once

/// Event: the caller has gone; nothing may stay held for the request.

#include "Identifiers.h"

namespace jayhold {

struct RequestCancelled {
    RequestId request;
};

}
