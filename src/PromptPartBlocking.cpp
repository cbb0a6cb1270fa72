#include "PromptPartBlocking.h"

#include "CrashEvidence.h"
#include "RequestLifecycle.h"
#include "UndecidedCrashes.h"

#include <algorithm>

namespace jayhold {

namespace {

/// A request is not the cause of a crash this many tokens after the start of its attempt. Engines send
/// several tokens in one event.
constexpr std::uint32_t progressTokens = 16;

auto hasProgressed(const ActiveRequest& request) -> bool
{
    return request.emitted >= request.emittedAtStart + progressTokens;
}

/// @return what may block the request: the parts of its prompt and its crash signature.
auto blockableParts(const ActiveRequest& request) -> std::vector<std::uint64_t>
{
    auto parts = request.arrival.promptParts;
    if (request.arrival.signature)
        parts.push_back(request.arrival.signature);
    return parts;
}

auto isBlockedByList(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    const auto& state = context.state.partCrashes;
    return hasBlockedPart(state, request.arrival.promptParts) || hasBlockedPart(state, std::span(&request.arrival.signature, 1));
}

/// Compares the prompts with those of other crashes.
/// @param prompts pieces of the prompt of one request.
auto comparePrompts(DecisionContext& context, std::span<const CrashedPrompt> prompts) -> void
{
    auto& state = context.state.partCrashes;
    const auto droppedBefore = state.droppedParts;
    for (const auto& prompt : prompts) {
        if (!addUndecidedPrompt(context, prompt))
            addCrashedPrompt(state, context.now, prompt);
    }
    if (state.droppedParts > droppedBefore)
        context.actions.emplace_back(CrashEvidenceDropped { prompts.front().process, state.droppedParts - droppedBefore });
}

auto reportUnblocked(DecisionContext& context, std::span<const std::uint64_t> parts) -> void
{
    for (const auto part : parts)
        context.actions.emplace_back(UpdateBlockedPart { part, BlockedPartChange::Remove });
}

auto refuseRequestsWithBlockedParts(DecisionContext& context) -> void
{
    std::vector<RequestId> matching;
    for (const auto& [id, request] : context.state.requests) {
        if (!request.triesBlockedPart && isBlockedByList(context, request))
            matching.push_back(id);
    }
    for (const auto id : matching)
        refuse(context, *findRequest(context.state, id), RefusalReason::CrashSuspect);
}

}

auto recordCrashedPrompt(DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> void
{
    if (request.arrival.promptParts.empty() || hasProgressed(request))
        return;
    auto prompts = divideCrashedPrompt(context.state.partCrashes, context.now, replica.description.process, request.arrival.signature, request.arrival.promptParts);
    comparePrompts(context, prompts);
    for (auto& prompt : prompts)
        context.actions.emplace_back(ReportCrashedPrompt { std::move(prompt) });
}

auto recordPromptProgress(DecisionContext& context, ActiveRequest& request, bool isFinished) -> void
{
    auto& parts = request.arrival.promptParts;
    const auto isSignatureBlocked = hasBlockedPart(context.state.partCrashes, std::span(&request.arrival.signature, 1));
    const auto hasSignature = request.arrival.signature != 0;
    if ((parts.empty() && !isSignatureBlocked && !(isFinished && hasSignature)) || (!isFinished && !hasProgressed(request)))
        return;
    // An engine may crash late in an answer, so only a complete one shows that the signature is harmless. A trial
    // ends sooner.
    if (isFinished && hasSignature)
        recordHarmlessParts(context.state.answeredSignatures, context.now, std::span(&request.arrival.signature, 1), true);
    if (isSignatureBlocked) {
        parts.push_back(request.arrival.signature);
        context.state.blockedSignatures.erase(request.arrival.signature);
    }
    const auto unblocked = recordHarmlessParts(context.state.partCrashes, context.now, parts, true);
    if (!unblocked.empty()) {
        reportUnblocked(context, unblocked);
        context.actions.emplace_back(ReportHarmlessParts { unblocked });
    }
    // Later attempts of the request have nothing to add.
    std::vector<std::uint64_t>().swap(parts);
}

auto refuseCrashingParts(DecisionContext& context) -> void
{
    const auto parts = blockCrashingParts(context.state.partCrashes, context.now);
    if (parts.empty())
        return;
    for (const auto part : parts)
        context.actions.emplace_back(UpdateBlockedPart { part, BlockedPartChange::Add });
    refuseRequestsWithBlockedParts(context);
}

auto isRefusedForPart(DecisionContext& context, ActiveRequest& request) -> bool
{
    auto& state = context.state.partCrashes;
    if (!isBlockedByList(context, request))
        return false;
    const auto parts = blockableParts(request);
    if (tryBeginTrial(state, context.now, parts)) {
        request.triesBlockedPart = true;
        request.crashSuspicion = CrashSuspicion::Suspect;
        return false;
    }
    if (const auto due = dueTrial(state, context.now, parts))
        context.actions.emplace_back(UpdateBlockedPart { due->part, BlockedPartChange::BeginTrial, due->trials });
    return true;
}

auto handle(DecisionContext& context, const CrashedPromptReported& event) -> void
{
    comparePrompts(context, std::span(&event.prompt, 1));
    auto harmless = ownHarmlessParts(context.state.partCrashes, context.now, event.prompt.parts);
    if (!harmless.empty())
        context.actions.emplace_back(ReportHarmlessParts { std::move(harmless) });
}

auto handle(DecisionContext& context, const HarmlessPartsReported& event) -> void
{
    reportUnblocked(context, recordHarmlessParts(context.state.partCrashes, context.now, event.parts, false));
}

auto handle(DecisionContext& context, const BlockedPartsListed& event) -> void
{
    auto harmless = applyListedParts(context.state.partCrashes, context.now, event.parts);
    if (!harmless.empty()) {
        reportUnblocked(context, harmless);
        context.actions.emplace_back(ReportHarmlessParts { std::move(harmless) });
    }
    refuseRequestsWithBlockedParts(context);
}

auto handle(DecisionContext& context, const PartTrialAllowed& event) -> void
{
    allowTrial(context.state.partCrashes, context.now, event.part);
}

}
