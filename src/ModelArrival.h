#pragma once

/// The event by which a shard learns of a validated model request.

#include "ModelRequestInfo.h"
#include "RequestArrived.h"

namespace jayhold {

/// @return the arrival of the request, without its identifier and the software version to which it is bound.
auto arrivalOf(const ModelRequestInfo& info) -> RequestArrived;

}
