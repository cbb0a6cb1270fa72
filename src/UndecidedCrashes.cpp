#include "UndecidedCrashes.h"

#include "CrashEvidence.h"
#include "ReplicaHealth.h"
#include "ServerReplacement.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Bounds the memory when many replicas are lost together.
constexpr std::size_t maxUndecidedCrashes = 64;
/// Events that were sent before a connection was lost may arrive up to this long after it.
constexpr Duration maxEventDelay = std::chrono::milliseconds(20);

auto removeExpired(DecisionContext& context) -> void
{
    std::erase_if(context.state.undecidedCrashes, [&](const auto& crash) { return context.now - crash.time >= replacementWindow; });
}

auto findUndecided(DecisionContext& context, std::uint64_t process) -> UndecidedCrash*
{
    auto& crashes = context.state.undecidedCrashes;
    const auto found = std::ranges::find(crashes, process, &UndecidedCrash::process);
    return found == crashes.end() ? nullptr : &*found;
}

/// @return whether the process that has answered is the one whose connections were lost. The entry of another would
/// have arrived by now.
auto isSameProcess(const UndecidedCrash& crash, TimePoint now) -> bool
{
    return crash.answeredAt && now - *crash.answeredAt >= entryArrivalTime;
}

/// A request whose copies are answered does not crash the engines that run it.
auto wasAnswered(const DecisionContext& context, std::uint64_t signature, TimePoint time) -> bool
{
    return !ownHarmlessParts(context.state.answeredSignatures, time, std::span(&signature, 1)).empty();
}

}

auto setCrashAside(DecisionContext& context, const Replica& replica) -> void
{
    auto& state = context.state;
    removeExpired(context);
    auto* crash = findUndecided(context, replica.description.process);
    if (!crash) {
        if (state.undecidedCrashes.size() == maxUndecidedCrashes)
            state.undecidedCrashes.erase(state.undecidedCrashes.begin());
        crash = &state.undecidedCrashes.emplace_back(UndecidedCrash { .replica = replica.description.replica, .process = replica.description.process, .time = context.now });
        context.actions.emplace_back(CheckProcess { replica.description.replica });
    }
    const auto signatures = takeCrashes(state.crashHistory, replica.description.replica);
    crash->signatures.insert(crash->signatures.end(), signatures.begin(), signatures.end());
    if (auto prompts = takePromptCrash(state.partCrashes, replica.description.process)) {
        if (!crash->prompts)
            crash->prompts = std::move(prompts);
        else
            addPrompts(state.partCrashes, *crash->prompts, prompts->prompts);
    }
}

auto addUndecidedPrompt(DecisionContext& context, const CrashedPrompt& prompt) -> bool
{
    removeExpired(context);
    auto* crash = findUndecided(context, prompt.process);
    if (!crash || crash->answeredAt)
        return false;
    if (!crash->prompts)
        crash->prompts = { .process = prompt.process, .time = context.now, .knownAt = context.now, .prompts = {} };
    addPrompts(context.state.partCrashes, *crash->prompts, std::span(&prompt, 1));
    return true;
}

auto recordAnswerAfterLoss(DecisionContext& context, const Replica& replica) -> void
{
    auto* crash = findUndecided(context, replica.description.process);
    if (crash && !crash->answeredAt && context.now - crash->time >= maxEventDelay)
        crash->answeredAt = context.now;
}

auto dropUndecidedCrashIfAlive(DecisionContext& context, const Replica& replica, TimePoint givenAt) -> void
{
    std::erase_if(context.state.undecidedCrashes, [&](const auto& crash) {
        return crash.process == replica.description.process && givenAt < crash.time && context.now - crash.time >= maxEventDelay;
    });
}

auto handle(DecisionContext& context, const ProcessEnded& event) -> void
{
    removeExpired(context);
    const auto* undecided = findUndecided(context, event.process);
    if (!undecided)
        return;
    const auto crash = *undecided;
    std::erase_if(context.state.undecidedCrashes, [&](const auto& other) { return other.process == event.process; });
    if (isSameProcess(crash, context.now))
        return;
    if (crash.prompts)
        restorePromptCrash(context.state.partCrashes, context.now, *crash.prompts);
    for (const auto& [signature, time] : crash.signatures) {
        if (!wasAnswered(context, signature, time))
            addCrash(context.state.crashHistory, signature, crash.replica, time, Duration::zero());
    }
}

}
