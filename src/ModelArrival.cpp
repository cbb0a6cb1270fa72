#include "ModelArrival.h"

#include "CrashedPrompt.h"

#include <span>
#include <unordered_set>

namespace jayhold {

namespace {

/// @return the parts of the prompt that other requests may share, each once. The last part belongs to the request. Their
/// number is bounded by the different ids that the head of a request can contain.
auto sharedParts(const ModelRequestInfo& info) -> std::vector<std::uint64_t>
{
    const auto& parts = info.forwarded ? info.forwarded->promptParts : info.digest.prefixBlocks;
    const auto shared = std::span(parts).first(info.forwarded && !parts.empty() ? parts.size() - 1 : parts.size());
    // The few parts of an ordinary prompt are not worth a search.
    if (shared.size() <= maxReportedParts)
        return { shared.begin(), shared.end() };
    std::vector<std::uint64_t> distinct;
    std::unordered_set<std::uint64_t> known;
    for (const auto part : shared) {
        if (known.insert(part).second)
            distinct.push_back(part);
    }
    distinct.shrink_to_fit();
    return distinct;
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
