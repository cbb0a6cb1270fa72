#pragma once

/// Finds parts of prompts that crash every engine that begins an answer to them, as a pure state machine.
/// It compares the prompts of requests that had no answer yet when engines crashed, at this instance and
/// at its peers. A part is blocked if different requests with it were at the crashes of two engines while
/// no request with it got past that point. Calls of plain services, which have no parts, are compared in the
/// same way: the signature of a call stands for its only part.

#include "CrashedPrompt.h"
#include "ListedPart.h"
#include "ServingTime.h"
#include "Time.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace jayhold {

/// What has to be known of a part before it is blocked.
struct CrashRules {
    /// Number of different requests with the part that were at crashes.
    std::size_t minRequests = 2;
    /// Number of crashes from which on a part is blocked although another part was at all of them too.
    std::size_t crashesDespiteTie = 2;
    /// Number of crashes in a row, one after the other, from which on a part is blocked although no other part had an answer
    /// in the time since its own last one.
    std::size_t crashesDespiteAnswer = std::numeric_limits<std::size_t>::max();
    /// Time for which an answer shows that a part is harmless. A part that is harmless can begin to crash engines, for
    /// example with new weights.
    Duration harmlessTtl = std::chrono::seconds(30);
    /// Time after which a blocked part is tried for the first time.
    Duration firstTrialDelay = std::chrono::minutes(10);
    /// Reports of one crash arrive within this time. A later one of the same process id is another crash.
    Duration reportWindow = std::chrono::seconds(2);
    /// Time without any answer that counts towards the age of an answer. The rest of it doesn't, because no server could
    /// answer then.
    Duration maxAnswerGap = Duration::max();
    /// Whether a part is tried early if it has been answered before, or if the crashes don't tell it from
    /// another one.
    bool hasEarlyTrials = false;
};

/// Rules for calls. Servers run many calls at once, so the calls that are retried together may be at the next crash
/// together too. A call that many callers send is at most crashes, but its last answer is recent, or no call of the service
/// has got an answer since. The first trial is early, because a harmless call that is blocked by mistake gets no answers.
inline constexpr CrashRules callCrashRules {
    .minRequests = 1,
    .crashesDespiteTie = 3,
    .crashesDespiteAnswer = 3,
    .harmlessTtl = std::chrono::seconds(2),
    .firstTrialDelay = std::chrono::minutes(1),
    .reportWindow = std::chrono::seconds(10),
    .maxAnswerGap = std::chrono::milliseconds(250),
    .hasEarlyTrials = true,
};

/// An older answer does not speak for a call, whatever the service answered since, and peers are not told of it.
inline constexpr Duration maxAnswerAge = std::chrono::minutes(1);

struct PromptPartCrashes {
    struct Crash {
        std::uint64_t process = 0;
        TimePoint time {};
        /// When the crash became known here.
        TimePoint knownAt {};
        std::vector<CrashedPrompt> prompts;
        /// Number of parts in all prompts.
        std::size_t partCount = 0;
    };
    struct HarmlessPart {
        /// When a request of this instance showed last that the part is harmless.
        std::optional<TimePoint> ownAt;
        /// When a peer reported it last. Peers report only what they have observed themselves.
        std::optional<TimePoint> reportedAt;
    };
    using HarmlessParts = std::unordered_map<std::uint64_t, HarmlessPart>;
    struct BlockedPart {
        /// Whether the list that all instances share contains the part.
        bool isListed = false;
        /// Whether the part may well be harmless, see ListedPart.
        bool isDoubtful = false;
        /// Whether all its crashes were at the same time, so that it may be harmless. A later crash before its first trial
        /// shows otherwise.
        bool isSimultaneous = false;
        /// Requests with the part that ran since it was blocked, to see whether it still crashes engines.
        std::uint32_t trials = 0;
        /// When this instance first saw the part with this number of trials.
        TimePoint since {};
        /// When this instance last asked for a trial.
        std::optional<TimePoint> trialRequestedAt;
        /// Until when this instance may run one request with the part.
        std::optional<TimePoint> trialAllowedUntil;
    };

    CrashRules rules {};
    /// Most recent crash last.
    std::deque<Crash> crashes;
    /// When the reports of a crash will have arrived that have not been compared yet.
    TimePoint decideAt = TimePoint::max();
    /// Parts of requests that got past the point at which their engine could have crashed. When the first
    /// table is full, it replaces the second one.
    HarmlessParts harmlessParts;
    HarmlessParts olderHarmlessParts;
    /// Answers that the first table contains.
    std::size_t harmlessAnswers = 0;
    ServingTime serving { .maxAnswerGap = rules.maxAnswerGap };
    std::unordered_map<std::uint64_t, BlockedPart> blocked;
    /// Parts at crashes that are not compared, because the memory for them was used up.
    std::uint64_t droppedParts = 0;
};

/// Crashes with a part that have to be known before it is blocked.
inline constexpr std::size_t minCrashes = 2;

/// Adds a request to the crash of its engine.
/// @param age time from the crash until it became known.
auto addCrashedPrompt(PromptPartCrashes& state, TimePoint now, const CrashedPrompt& prompt, Duration age = Duration::zero()) -> void;
/// Lets blockCrashingParts() compare the crashes again, because a part that was at some of them is harmless.
auto reconsiderCrashes(PromptPartCrashes& state, TimePoint now) -> void;
/// Removes the crash of an engine process that turned out not to have crashed.
auto removePromptCrash(PromptPartCrashes& state, std::uint64_t process) -> void;
/// Removes the crash of an engine process that has possibly not crashed.
/// @return the crash, or nothing if none is known.
auto takePromptCrash(PromptPartCrashes& state, std::uint64_t process) -> std::optional<PromptPartCrashes::Crash>;
/// Adds a crash again that takePromptCrash() has removed.
auto restorePromptCrash(PromptPartCrashes& state, TimePoint now, PromptPartCrashes::Crash crash) -> void;
/// Records that a request with the parts got past the point at which its engine could have crashed.
/// @param time when it did. An answer from long before a part was blocked does not end the block.
/// @param isOwn whether it was a request of this instance.
/// @return the parts that were blocked until now.
auto recordHarmlessParts(PromptPartCrashes& state, TimePoint time, std::span<const std::uint64_t> parts, bool isOwn) -> std::vector<std::uint64_t>;
/// @return whether all of the parts were known to be harmless at a time.
auto areHarmless(const PromptPartCrashes& state, TimePoint time, std::span<const std::uint64_t> parts) -> bool;
/// @return those of the parts that this instance has recently found to be harmless.
auto ownHarmlessParts(const PromptPartCrashes& state, TimePoint now, std::span<const std::uint64_t> parts) -> std::vector<std::uint64_t>;
/// @return when a request of this instance showed last that the part is harmless, if it is known and not long ago.
auto lastOwnAnswer(const PromptPartCrashes& state, TimePoint now, std::uint64_t part) -> std::optional<TimePoint>;

/// Blocks the parts that the crashes show to be the cause.
/// @return the parts that were not blocked before.
auto blockCrashingParts(PromptPartCrashes& state, TimePoint now) -> std::vector<std::uint64_t>;
/// @return whether a blocked part may well be harmless, see ListedPart.
auto isDoubtful(const PromptPartCrashes& state, std::uint64_t part) -> bool;
/// @return whether the part was at a crash that no blocked part explains, and in no answer since.
auto isSuspicious(const PromptPartCrashes& state, TimePoint now, std::uint64_t part) -> bool;
auto hasBlockedPart(const PromptPartCrashes& state, std::span<const std::uint64_t> parts) -> bool;

/// Applies the shared list. Parts that are no longer listed are not blocked any more.
/// @return the listed parts that this instance knows to be harmless. They are not blocked here.
auto applyListedParts(PromptPartCrashes& state, TimePoint now, std::span<const ListedPart> listed) -> std::vector<std::uint64_t>;

/// Called for a request that is refused for a blocked part. A trial is due some time after the part was
/// blocked or last tried.
/// @return the part to try and its trials so far, if a trial is due.
auto dueTrial(PromptPartCrashes& state, TimePoint now, std::span<const std::uint64_t> parts) -> std::optional<ListedPart>;
/// Allows this instance to run one request with the part.
auto allowTrial(PromptPartCrashes& state, TimePoint now, std::uint64_t part) -> void;
/// Uses the permission for a trial, if every blocked part of the request has one.
/// @return whether the request may run.
auto tryBeginTrial(PromptPartCrashes& state, TimePoint now, std::span<const std::uint64_t> parts) -> bool;

}
