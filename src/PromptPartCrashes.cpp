#include "PromptPartCrashes.h"

#include "CrashEvidence.h"
#include "CrashHistory.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace jayhold {

namespace {

/// Crashes that are compared. Requests with the part may be rare, so crashes count for minutes.
constexpr Duration crashTtl = std::chrono::minutes(10);
/// A table of harmless parts is full when it has so many parts, but not before it has this many answers, because a long
/// prompt alone has thousands of parts. The last bound holds in any case.
constexpr std::size_t maxHarmlessParts = 2'048;
constexpr std::size_t minHarmlessAnswers = 64;
constexpr std::size_t maxHarmlessPartsOfLongPrompts = 32'768;
constexpr std::size_t maxBlockedParts = 256;

/// A part that is not in the shared list, because there is none or it can't be written, is blocked for this
/// time.
constexpr Duration unlistedBlockTtl = std::chrono::minutes(10);

/// Time before a blocked part may be tried again. Only a few trials are made in all, because each may crash
/// an engine.
constexpr Duration trialInterval = std::chrono::minutes(10);
constexpr std::uint32_t maxTrials = 3;
/// Delays of the trials of a part that may well be harmless, by the number of trials so far.
constexpr std::array<Duration, maxTrials> earlyTrialDelays { std::chrono::seconds(1), std::chrono::seconds(5), std::chrono::minutes(1) };
/// Servers that are killed together are seen to crash within this time. A call that crashes one after the other takes longer,
/// because it is sent again only after the peers' reports.
constexpr Duration simultaneousWindow = crashReportWait;
/// Time in which the request of a trial has to arrive.
constexpr Duration trialPermitTime = std::chrono::minutes(1);

auto findHarmless(const PromptPartCrashes& state, std::uint64_t part) -> const PromptPartCrashes::HarmlessPart*
{
    if (const auto found = state.harmlessParts.find(part); found != state.harmlessParts.end())
        return &found->second;
    const auto older = state.olderHarmlessParts.find(part);
    return older == state.olderHarmlessParts.end() ? nullptr : &older->second;
}

auto wasHarmlessAt(const PromptPartCrashes& state, std::uint64_t part, TimePoint time) -> bool
{
    const auto* harmless = findHarmless(state, part);
    const auto covers = [&](const std::optional<TimePoint>& at) { return at && *at + state.rules.harmlessTtl >= time; };
    return harmless && (covers(harmless->ownAt) || covers(harmless->reportedAt));
}

auto isOwnHarmless(const PromptPartCrashes& state, std::uint64_t part, TimePoint now) -> bool
{
    const auto* harmless = findHarmless(state, part);
    return harmless && harmless->ownAt && now - *harmless->ownAt < state.rules.harmlessTtl;
}

/// @return when a request with the part showed last that it is harmless.
auto lastAnswer(const PromptPartCrashes& state, std::uint64_t part) -> std::optional<TimePoint>
{
    const auto* harmless = findHarmless(state, part);
    return harmless ? std::max(harmless->ownAt, harmless->reportedAt) : std::nullopt;
}

/// @return whether the part's last answer was before the crash, so long ago that the service has hardly answered any call
/// since.
auto wasAnsweredBeforeSilence(const PromptPartCrashes& state, std::uint64_t part, TimePoint crashedAt) -> bool
{
    const auto answeredAt = lastAnswer(state, part);
    return answeredAt && crashedAt - *answeredAt <= maxAnswerAge && servingTimeBetween(state.serving, *answeredAt, crashedAt) <= state.rules.harmlessTtl;
}

/// The crashes and requests that a part was in.
struct PartEvidence {
    /// Without those for which an answer speaks.
    std::set<const PromptPartCrashes::Crash*> crashes;
    /// All crashes after the last answer.
    std::vector<TimePoint> unansweredCrashes;
    /// Whether one of these was longer than the harmlessTtl after the last answer.
    bool isAnswerOld = false;
    std::set<std::uint64_t> requests;
    /// Deepest position in a prompt.
    std::size_t depth = 0;
};

/// A part that is to be blocked.
struct PossibleCause {
    std::uint64_t part = 0;
    bool isTied = false;
    bool isSimultaneous = false;
};

using EvidenceTable = std::unordered_map<std::uint64_t, PartEvidence>;

/// @param compared the parts that are compared, in ascending order.
auto addEvidence(EvidenceTable& table, const PromptPartCrashes& state, const PromptPartCrashes::Crash& crash, std::span<const std::uint64_t> compared) -> void
{
    for (const auto& prompt : crash.prompts) {
        for (std::size_t index = 0; index < prompt.parts.size(); ++index) {
            const auto part = prompt.parts[index];
            if (!std::ranges::binary_search(compared, part) || lastAnswer(state, part) >= crash.time)
                continue;
            auto& evidence = table[part];
            evidence.unansweredCrashes.push_back(crash.time);
            if (wasHarmlessAt(state, part, crash.time))
                continue;
            evidence.isAnswerOld = true;
            if (wasAnsweredBeforeSilence(state, part, crash.time))
                continue;
            evidence.crashes.insert(&crash);
            evidence.requests.insert(prompt.signature);
            evidence.depth = std::max(evidence.depth, prompt.firstPosition + index);
        }
    }
}

/// @return the number of crashes that were one after the other.
auto countSuccessive(std::vector<TimePoint> crashes) -> std::size_t
{
    std::ranges::sort(crashes);
    std::size_t count = 0;
    std::optional<TimePoint> last;
    for (const auto time : crashes) {
        if (last && time - *last < simultaneousWindow)
            continue;
        last = time;
        ++count;
    }
    return count;
}

/// @return whether a blocked part explains the crash, so that it says nothing about other parts.
auto isExplained(const PromptPartCrashes& state, const PromptPartCrashes::Crash& crash) -> bool
{
    return std::ranges::any_of(crash.prompts, [&](const auto& prompt) { return hasBlockedPart(state, prompt.parts); });
}

/// @return whether another part was at all crashes of this one, so that either may be the cause.
auto hasTie(const EvidenceTable& table, std::uint64_t part, const PartEvidence& evidence) -> bool
{
    return std::ranges::any_of(table, [&](const auto& other) { return other.first != part && std::ranges::includes(other.second.crashes, evidence.crashes); });
}

/// @return whether the crashes show that the part is a cause, unless another one is more likely.
auto isPossibleCause(const PromptPartCrashes& state, const EvidenceTable& table, std::uint64_t part, const PartEvidence& evidence) -> bool
{
    if (evidence.isAnswerOld && countSuccessive(evidence.unansweredCrashes) >= state.rules.crashesDespiteAnswer)
        return true;
    if (evidence.crashes.size() < minCrashes || evidence.requests.size() < state.rules.minRequests)
        return false;
    return evidence.crashes.size() >= state.rules.crashesDespiteTie || !hasTie(table, part, evidence);
}

/// @return the deepest part that was in several crashes. Requests share the parts before the cause more often
/// than the parts after it. Of equally deep parts, one that has never been answered.
auto mostLikelyCause(const PromptPartCrashes& state, TimePoint now) -> std::optional<PossibleCause>
{
    std::vector<const PromptPartCrashes::Crash*> crashes;
    for (const auto& crash : state.crashes) {
        if (!isExplained(state, crash) && now - crash.knownAt >= crashReportWait)
            crashes.push_back(&crash);
    }
    EvidenceTable table;
    const auto compared = recurringParts(state, crashes);
    for (const auto* crash : crashes)
        addEvidence(table, state, *crash, compared);
    const auto rank = [&](std::uint64_t part, const PartEvidence& evidence) {
        // The last criterion makes all instances choose the same part.
        return std::tuple(evidence.depth, !lastAnswer(state, part), evidence.crashes.size(), part);
    };
    const EvidenceTable::value_type* best = nullptr;
    for (const auto& entry : table) {
        const auto& [part, evidence] = entry;
        if (isPossibleCause(state, table, part, evidence) && (!best || rank(part, evidence) > rank(best->first, best->second)))
            best = &entry;
    }
    if (!best)
        return std::nullopt;
    return PossibleCause { best->first, hasTie(table, best->first, best->second), countSuccessive(best->second.unansweredCrashes) < minCrashes };
}

/// @return the times of the crashes with the part after its last answer that no other blocked part explains.
auto unansweredCrashes(const PromptPartCrashes& state, std::uint64_t part) -> std::vector<TimePoint>
{
    const auto hasPart = [&](const CrashedPrompt& prompt) { return std::ranges::find(prompt.parts, part) != prompt.parts.end(); };
    const auto hasOtherCause = [&](const CrashedPrompt& prompt) {
        return std::ranges::any_of(prompt.parts, [&](std::uint64_t other) { return other != part && state.blocked.contains(other); });
    };
    std::vector<TimePoint> times;
    for (const auto& crash : state.crashes) {
        if (crash.time > lastAnswer(state, part) && std::ranges::any_of(crash.prompts, hasPart) && std::ranges::none_of(crash.prompts, hasOtherCause))
            times.push_back(crash.time);
    }
    return times;
}

/// Withdraws the early first trial of blocked parts that were at a later crash than the simultaneous ones for which they are
/// blocked. A crash in a trial doesn't count, because its server may have been killed.
auto noteLaterCrash(PromptPartCrashes& state, std::span<const std::uint64_t> parts) -> void
{
    for (const auto part : parts) {
        const auto found = state.blocked.find(part);
        if (found == state.blocked.end() || !found->second.isSimultaneous || found->second.trials > 0)
            continue;
        found->second.isSimultaneous = countSuccessive(unansweredCrashes(state, part)) < minCrashes;
    }
}

/// @return the time after which the part is tried again.
auto trialDelay(const PromptPartCrashes& state, std::uint64_t part, const PromptPartCrashes::BlockedPart& blocked) -> Duration
{
    if (state.rules.hasEarlyTrials && (blocked.isSimultaneous || isDoubtful(state, part)))
        return earlyTrialDelays.at(blocked.trials);
    return blocked.trials == 0 ? state.rules.firstTrialDelay : trialInterval;
}

}

auto addCrashedPrompt(PromptPartCrashes& state, TimePoint now, const CrashedPrompt& prompt, Duration age) -> void
{
    auto crash = std::ranges::find_if(state.crashes, [&](const auto& known) { return known.process == prompt.process && now - known.knownAt < state.rules.reportWindow; });
    if (crash == state.crashes.end())
        crash = state.crashes.insert(state.crashes.end(), { .process = prompt.process, .time = now - age, .knownAt = now, .prompts = {} });
    addPrompts(state, *crash, std::span(&prompt, 1));
    state.decideAt = std::min(state.decideAt, crash->knownAt + crashReportWait);
    noteLaterCrash(state, prompt.parts);
    removeOldestBeyondBounds(state);
}

auto reconsiderCrashes(PromptPartCrashes& state, TimePoint now) -> void
{
    state.decideAt = std::min(state.decideAt, now);
}

auto removePromptCrash(PromptPartCrashes& state, std::uint64_t process) -> void
{
    std::erase_if(state.crashes, [&](const auto& crash) { return crash.process == process; });
}

auto takePromptCrash(PromptPartCrashes& state, std::uint64_t process) -> std::optional<PromptPartCrashes::Crash>
{
    const auto last = std::ranges::find(state.crashes.rbegin(), state.crashes.rend(), process, &PromptPartCrashes::Crash::process);
    if (last == state.crashes.rend())
        return std::nullopt;
    auto crash = std::move(*last);
    removePromptCrash(state, process);
    return crash;
}

auto restorePromptCrash(PromptPartCrashes& state, TimePoint now, PromptPartCrashes::Crash crash) -> void
{
    state.decideAt = std::min(state.decideAt, std::max(now, crash.knownAt + crashReportWait));
    // A process ends once. If it was lost again meanwhile, both losses are one crash.
    const auto known = std::ranges::find(state.crashes, crash.process, &PromptPartCrashes::Crash::process);
    if (known != state.crashes.end())
        addPrompts(state, *known, crash.prompts);
    else
        state.crashes.push_back(std::move(crash));
    removeOldestBeyondBounds(state);
}

auto recordHarmlessParts(PromptPartCrashes& state, TimePoint time, std::span<const std::uint64_t> parts, bool isOwn) -> std::vector<std::uint64_t>
{
    recordAnswer(state.serving, time);
    std::vector<std::uint64_t> unblocked;
    const auto size = state.harmlessParts.size();
    if ((size >= maxHarmlessParts && state.harmlessAnswers >= minHarmlessAnswers) || size >= maxHarmlessPartsOfLongPrompts) {
        state.olderHarmlessParts = std::exchange(state.harmlessParts, {});
        state.harmlessAnswers = 0;
    }
    ++state.harmlessAnswers;
    for (const auto part : parts) {
        const auto* known = findHarmless(state, part);
        auto harmless = known ? *known : PromptPartCrashes::HarmlessPart {};
        auto& answeredAt = isOwn ? harmless.ownAt : harmless.reportedAt;
        answeredAt = std::max(answeredAt, std::optional(time));
        state.harmlessParts[part] = harmless;
        const auto blocked = state.blocked.find(part);
        if (blocked == state.blocked.end() || time + state.rules.harmlessTtl < blocked->second.since)
            continue;
        state.blocked.erase(blocked);
        unblocked.push_back(part);
    }
    return unblocked;
}

auto areHarmless(const PromptPartCrashes& state, TimePoint time, std::span<const std::uint64_t> parts) -> bool
{
    return std::ranges::all_of(parts, [&](std::uint64_t part) { return wasHarmlessAt(state, part, time); });
}

auto ownHarmlessParts(const PromptPartCrashes& state, TimePoint now, std::span<const std::uint64_t> parts) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> harmless;
    for (const auto part : parts) {
        if (isOwnHarmless(state, part, now))
            harmless.push_back(part);
    }
    return harmless;
}

auto lastOwnAnswer(const PromptPartCrashes& state, TimePoint now, std::uint64_t part) -> std::optional<TimePoint>
{
    const auto* harmless = findHarmless(state, part);
    const auto isRecent = harmless && harmless->ownAt && now - *harmless->ownAt <= maxAnswerAge;
    return isRecent ? harmless->ownAt : std::nullopt;
}

auto blockCrashingParts(PromptPartCrashes& state, TimePoint now) -> std::vector<std::uint64_t>
{
    std::erase_if(state.blocked, [&](const auto& blocked) { return !blocked.second.isListed && now - blocked.second.since >= unlistedBlockTtl; });
    std::vector<std::uint64_t> parts;
    if (now < state.decideAt)
        return parts;
    while (!state.crashes.empty() && now - state.crashes.front().time >= crashTtl)
        state.crashes.pop_front();
    state.decideAt = TimePoint::max();
    for (const auto& crash : state.crashes) {
        if (now - crash.knownAt < crashReportWait)
            state.decideAt = std::min(state.decideAt, crash.knownAt + crashReportWait);
    }
    while (state.crashes.size() >= minCrashes && state.blocked.size() < maxBlockedParts) {
        const auto cause = mostLikelyCause(state, now);
        if (!cause)
            break;
        auto& blocked = state.blocked[cause->part];
        blocked.since = now;
        blocked.isDoubtful = cause->isTied;
        blocked.isSimultaneous = cause->isSimultaneous;
        parts.push_back(cause->part);
    }
    return parts;
}

auto isDoubtful(const PromptPartCrashes& state, std::uint64_t part) -> bool
{
    const auto blocked = state.blocked.find(part);
    return blocked != state.blocked.end() && (blocked->second.isDoubtful || findHarmless(state, part));
}

auto isSuspicious(const PromptPartCrashes& state, TimePoint now, std::uint64_t part) -> bool
{
    return std::ranges::any_of(state.crashes, [&](const auto& crash) {
        const auto isThere = std::ranges::any_of(crash.prompts, [&](const auto& prompt) { return std::ranges::find(prompt.parts, part) != prompt.parts.end(); });
        return isThere && now - crash.time < crashTtl && !isExplained(state, crash) && !wasHarmlessAt(state, part, crash.time);
    });
}

auto hasBlockedPart(const PromptPartCrashes& state, std::span<const std::uint64_t> parts) -> bool
{
    return !state.blocked.empty() && std::ranges::any_of(parts, [&](std::uint64_t part) { return state.blocked.contains(part); });
}

auto applyListedParts(PromptPartCrashes& state, TimePoint now, std::span<const ListedPart> listed) -> std::vector<std::uint64_t>
{
    std::erase_if(state.blocked, [&](const auto& blocked) {
        return blocked.second.isListed && std::ranges::find(listed, blocked.first, &ListedPart::part) == listed.end();
    });
    std::vector<std::uint64_t> harmless;
    for (const auto& entry : listed) {
        if (!ownHarmlessParts(state, now, std::span(&entry.part, 1)).empty()) {
            harmless.push_back(entry.part);
            continue;
        }
        const auto [known, isNew] = state.blocked.try_emplace(entry.part);
        auto& blocked = known->second;
        if (isNew || blocked.trials != entry.trials)
            blocked.since = now;
        blocked.trials = entry.trials;
        blocked.isDoubtful = blocked.isDoubtful || entry.isDoubtful;
        blocked.isListed = true;
    }
    return harmless;
}

auto dueTrial(PromptPartCrashes& state, TimePoint now, std::span<const std::uint64_t> parts) -> std::optional<ListedPart>
{
    for (const auto part : parts) {
        const auto found = state.blocked.find(part);
        if (found == state.blocked.end())
            continue;
        auto& blocked = found->second;
        // Another instance may have begun the trial that was requested; the time since then counts for the next one.
        const auto wasRequested = blocked.trialRequestedAt >= blocked.since && now - *blocked.trialRequestedAt < trialInterval;
        if (!blocked.isListed || blocked.trials >= maxTrials || wasRequested || now - blocked.since < trialDelay(state, part, blocked))
            continue;
        blocked.trialRequestedAt = now;
        return ListedPart { part, blocked.trials };
    }
    return std::nullopt;
}

auto allowTrial(PromptPartCrashes& state, TimePoint now, std::uint64_t part) -> void
{
    if (const auto found = state.blocked.find(part); found != state.blocked.end())
        found->second.trialAllowedUntil = now + trialPermitTime;
}

auto tryBeginTrial(PromptPartCrashes& state, TimePoint now, std::span<const std::uint64_t> parts) -> bool
{
    std::vector<PromptPartCrashes::BlockedPart*> blockedParts;
    for (const auto part : parts) {
        const auto found = state.blocked.find(part);
        if (found == state.blocked.end())
            continue;
        if (!found->second.trialAllowedUntil || now > *found->second.trialAllowedUntil)
            return false;
        blockedParts.push_back(&found->second);
    }
    for (auto* blocked : blockedParts)
        blocked->trialAllowedUntil.reset();
    return !blockedParts.empty();
}

}
