#pragma once

/// One call that the load tool sends, with the expected response.

#include "HttpRequest.h"
#include "LoadItem.h"

#include <string>

namespace jayhold {

struct CallPlan {
    const LoadItem* item = nullptr;
    HttpRequest request;
    /// The completion text of a model service, or the response body of a plain service.
    std::string expected;
    /// Tokens after which the stream is cancelled; 0 if it is not cancelled.
    std::int64_t cancelAfterTokens = 0;
};

/// Builds a call.
/// @param number must be unique within a run; with the seed it distinguishes the calls of all runs.
/// @param isCancelled whether the stream is to be cancelled halfway.
auto planCall(const LoadItem& item, std::uint64_t seed, std::uint64_t number, bool isCancelled) -> CallPlan;

}
