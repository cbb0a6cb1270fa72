#include "ModelArrival.h"

#include "CrashedPrompt.h"

#include <algorithm>

namespace jayhold {

namespace {

/// @return the parts of the prompt that other requests may share. The last part belongs to the request.
auto sharedParts(const ModelRequestInfo& info) -> std::vector<std::uint64_t>
{
    const auto& parts = info.forwarded ? info.forwarded->promptParts : info.digest.prefixBlocks;
    const auto shared = info.forwarded && !parts.empty() ? parts.size() - 1 : parts.size();
    return { parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(std::min(shared, maxComparedParts)) };
}

}

auto arrivalOf(const ModelRequestInfo& info) -> RequestArrived
{
    RequestArrived arrived {};
    arrived.kind = info.kind;
    arrived.customer = info.customer;
    arrived.promptTokens = info.digest.tokens;
    arrived.maxTokens = info.request.maxTokens;
    arrived.expectedTokens = info.forwarded ? info.forwarded->expectedTokens : 0;
    arrived.deadline = info.deadline;
    arrived.prefixBlocks = info.digest.prefixBlocks;
    arrived.signature = info.digest.signature;
    arrived.promptParts = sharedParts(info);
    return arrived;
}

}
