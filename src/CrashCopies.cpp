#include "CrashCopies.h"

#include "QueuedRequests.h"
#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Time in which a suspect gets past the point of its crash, or runs into the next crash, even on busy
/// engines. Copies do not wait longer, so a suspect that is held up does not hold them up.
constexpr Duration maxCopyWait = std::chrono::seconds(2);
/// A suspect is cleared this many tokens past the point of the crash, because a crash may come a little
/// later than the last token that was delivered.
constexpr std::uint32_t clearingTokens = 4;

auto findHistory(const DecisionContext& context, const ActiveRequest& request) -> CrashHistory*
{
    const auto found = context.state.crashHistory.find(request.arrival.signature);
    return found == context.state.crashHistory.end() ? nullptr : &found->second;
}

/// @return whether the other copy runs before the request. A suspect runs before other copies. If it is not known
/// yet that a copy is one, the copies run in the order in which they started.
auto isAhead(const DecisionContext& context, const ActiveRequest& other, const ActiveRequest& request) -> bool
{
    if (isPastCrash(context, other))
        return false;
    if (other.phase == RequestPhase::Starting || other.phase == RequestPhase::Decoding)
        return true;
    const auto isSuspect = request.crashSuspicion == CrashSuspicion::Suspect;
    if (other.crashSuspicion == CrashSuspicion::Suspect && (!isSuspect || other.arrival.request < request.arrival.request))
        return true;
    // A prefill result goes before prefills that still run.
    if (request.phase == RequestPhase::Prefilled)
        return false;
    // A suspect does not wait for a prefill result, because the prefill result waits for the suspect.
    return other.phase == RequestPhase::Prefilling || (!isSuspect && other.phase == RequestPhase::Prefilled);
}

}

auto isPastCrash(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    const auto* history = findHistory(context, request);
    const auto emittedAtCrash = history ? std::max(history->emittedAtCrash, request.emittedAtCrash) : request.emittedAtCrash;
    return request.emitted >= emittedAtCrash + clearingTokens;
}

auto delayCopies(DecisionContext& context, const ActiveRequest& crashed) -> void
{
    auto* history = findHistory(context, crashed);
    if (!history)
        return;
    history->copiesWaitUntil = context.now + maxCopyWait;
    history->emittedAtCrash = std::max(history->emittedAtCrash, crashed.emittedAtCrash);
    history->copies.clear();
    for (const auto& [id, request] : context.state.requests) {
        if (request.arrival.signature == crashed.arrival.signature)
            history->copies.push_back(id);
    }
    moveWaitingCopies(context, crashed.arrival.signature);
}

auto moveWaitingCopies(DecisionContext& context, std::uint64_t signature) -> void
{
    // Zero stands for a request without a signature.
    if (!signature)
        return;
    for (auto& [id, request] : context.state.requests) {
        if (request.arrival.signature != signature || request.phase != RequestPhase::Queued)
            continue;
        removeFromQueue(context.state, request);
        request.subQueue = SubQueue::Resume;
        pushToQueue(context.state, request);
        setTimer(context, request);
    }
}

auto recordCopyStart(DecisionContext& context, const ActiveRequest& request) -> void
{
    auto* history = findHistory(context, request);
    if (!history || context.now >= history->copiesWaitUntil)
        return;
    if (std::ranges::find(history->copies, request.arrival.request) == history->copies.end())
        history->copies.push_back(request.arrival.request);
}

auto awaitsCopy(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    const auto* history = findHistory(context, request);
    if (!history || context.now >= history->copiesWaitUntil)
        return false;
    // The next attempt of such a request begins after the point of the crash.
    if (isPastCrash(context, request))
        return false;
    return std::ranges::any_of(history->copies, [&](RequestId id) {
        const auto* other = findRequest(context.state, id);
        return other && other != &request && isAhead(context, *other, request);
    });
}

}
