#pragma once

/// Timeouts of the attempts of a model request.

#include "EntryContext.h"
#include "EntryTimeouts.h"
#include "ModelRequestInfo.h"
#include "Time.h"

namespace jayhold {

/// Time after a request's deadline at which the instance refuses it without a decision of the shard.
inline constexpr Duration deadlineGracePeriod = std::chrono::seconds(1);

/// @return the times after which a silent engine is replaced if another one has room.
auto silenceTimeoutsOf(const ModelRequestInfo& info, const EntryContext& context) -> EntryTimeouts;

/// Calls don't time out before the request is answered at its deadline. An engine that is silent may still
/// respond, and the shard decides whether another one is tried.
/// @return the timeouts of the calls to an engine.
auto callTimeoutsOf(const ModelRequestInfo& info, const EntryContext& context) -> EntryTimeouts;

}
