#pragma once

/// One call that the load tool sends, with the answer that must come back.

#include "HttpRequest.h"
#include "LoadItem.h"

#include <string>

namespace jayhold {

struct CallPlan {
    const LoadItem* item = nullptr;
    HttpRequest request;
    /// The text of a model's answer or the body of a plain service's answer.
    std::string expected;
    /// Tokens after which a stream is cancelled; 0 for never.
    std::int64_t cancelAfterTokens = 0;
};

/// Builds a call.
/// @param number distinguishes the call from every other call of all runs with other seeds.
/// @param isCancelled whether the stream is to be cancelled in the middle.
auto planCall(const LoadItem& item, std::uint64_t seed, std::uint64_t number, bool isCancelled) -> CallPlan;

}
