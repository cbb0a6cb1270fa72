#include "PromptPartCrashes.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <span>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

using Parts = std::vector<std::uint64_t>;

constexpr TimePoint start { 1'000s };
/// By then the peers' reports of a crash have arrived.
constexpr Duration settled = 1s;

/// Lets a request crash an engine process of its own.
auto crash(PromptPartCrashes& state, TimePoint now, std::uint64_t request, const Parts& parts) -> Parts
{
    addCrashedPrompt(state, now, { .process = 1'000 + static_cast<std::uint64_t>(state.crashes.size()), .signature = request, .parts = parts });
    return blockCrashingParts(state, now + settled);
}

auto blockedState(std::uint64_t part, bool isListed) -> PromptPartCrashes
{
    PromptPartCrashes state;
    crash(state, start, 1, { part });
    crash(state, start + 1s, 2, { part });
    if (isListed)
        applyListedParts(state, start + 2s, std::vector<ListedPart> { { part } });
    return state;
}

}

// Guards against blaming what crashing requests share with harmless ones instead of the part that is the cause.
TEST_CASE("the deepest part that was at the crashes of two requests is blocked")
{
    PromptPartCrashes state;
    CHECK(crash(state, start, 1, { 7, 13, 21 }).empty());
    CHECK(crash(state, start + 5min, 2, { 7, 13, 22 }) == Parts { 13 });
    CHECK(hasBlockedPart(state, Parts { 5, 13 }));
    CHECK_FALSE(hasBlockedPart(state, Parts { 7, 21 }));
    // The crashes are explained, and a further one does not make their other parts suspicious.
    CHECK(crash(state, start + 6min, 3, { 7, 13, 23 }).empty());
    CHECK(crash(state, start + 7min, 4, { 7 }).empty());
}

// Guards against blocking the parts of a request that crashes engines by itself, or of requests that ran
// beside a crash.
TEST_CASE("one request or one crash does not block a part")
{
    PromptPartCrashes state;
    crash(state, start, 1, { 7 });
    CHECK(crash(state, start + 1s, 1, { 7 }).empty());
    PromptPartCrashes beside;
    addCrashedPrompt(beside, start, { .process = 1, .signature = 1, .parts = { 7 } });
    addCrashedPrompt(beside, start, { .process = 1, .signature = 2, .parts = { 7 } });
    CHECK(blockCrashingParts(beside, start + settled).empty());
}

// Guards against a decision before the peers could report that a part is harmless.
TEST_CASE("a part is blocked only after the reports of the peers can have arrived")
{
    PromptPartCrashes state;
    crash(state, start, 1, { 7 });
    addCrashedPrompt(state, start + 1s, { .process = 2, .signature = 2, .parts = { 7 } });
    CHECK(blockCrashingParts(state, start + 1s).empty());
    CHECK(blockCrashingParts(state, state.decideAt) == Parts { 7 });
}

// Guards against refusing harmless requests because engines crashed for other reasons while they ran, and
// against a part that is never blocked because it was harmless long ago.
TEST_CASE("a part that was recently harmless is not blocked")
{
    PromptPartCrashes state;
    recordHarmlessParts(state, start, Parts { 7 }, true);
    CHECK(ownHarmlessParts(state, start + 1s, Parts { 6, 7 }) == Parts { 7 });
    crash(state, start + 1s, 1, { 7 });
    CHECK(crash(state, start + 2s, 2, { 7 }).empty());
    crash(state, start + 10min, 3, { 7 });
    CHECK(crash(state, start + 11min, 4, { 7 }) == Parts { 7 });
}

TEST_CASE("a part that turns out to be harmless is not blocked any more")
{
    auto state = blockedState(7, true);
    REQUIRE(hasBlockedPart(state, Parts { 7 }));
    CHECK(recordHarmlessParts(state, start + 3s, Parts { 7 }, false) == Parts { 7 });
    CHECK_FALSE(hasBlockedPart(state, Parts { 7 }));
    // What a peer reports is not reported again, so that it can't circulate.
    CHECK(ownHarmlessParts(state, start + 3s, Parts { 7 }).empty());
    CHECK(applyListedParts(state, start + 4s, std::vector<ListedPart> { { 7 } }).empty());
    CHECK(hasBlockedPart(state, Parts { 7 }));
}

// Guards against instances that confirm to each other for ever that a part is harmless, after it has begun to
// crash engines.
TEST_CASE("reports of peers do not prolong what an instance has observed itself")
{
    PromptPartCrashes state;
    recordHarmlessParts(state, start, Parts { 7 }, true);
    recordHarmlessParts(state, start + 20s, Parts { 7 }, false);
    CHECK(ownHarmlessParts(state, start + 25s, Parts { 7 }) == Parts { 7 });
    CHECK(ownHarmlessParts(state, start + 31s, Parts { 7 }).empty());
    // The report of the peer counts for as long as an observation of its own.
    crash(state, start + 45s, 1, { 7 });
    CHECK(crash(state, start + 49s, 2, { 7 }).empty());
    crash(state, start + 55s, 3, { 7 });
    CHECK(crash(state, start + 60s, 4, { 7 }) == Parts { 7 });
}

// Guards against an instance that blocks a part although its own requests with the part are answered.
TEST_CASE("an instance objects to a listed part that it knows to be harmless")
{
    PromptPartCrashes state;
    recordHarmlessParts(state, start, Parts { 7 }, true);
    CHECK(applyListedParts(state, start + 1s, std::vector<ListedPart> { { 7 }, { 8 } }) == Parts { 7 });
    CHECK_FALSE(hasBlockedPart(state, Parts { 7 }));
    CHECK(hasBlockedPart(state, Parts { 8 }));
}

// Guards against blocks that never end: neither when operators remove the entry, nor without a list.
TEST_CASE("a block ends with its entry, or after some time if it has none")
{
    auto listed = blockedState(7, true);
    blockCrashingParts(listed, start + 1h);
    CHECK(hasBlockedPart(listed, Parts { 7 }));
    applyListedParts(listed, start + 2h, {});
    CHECK_FALSE(hasBlockedPart(listed, Parts { 7 }));
    auto unlisted = blockedState(7, false);
    applyListedParts(unlisted, start + 2s, {});
    CHECK(hasBlockedPart(unlisted, Parts { 7 }));
    blockCrashingParts(unlisted, start + 1h);
    CHECK_FALSE(hasBlockedPart(unlisted, Parts { 7 }));
}

// Guards against instances that each try a blocked part again, and against a part that is never tried.
TEST_CASE("a listed part is tried again a few times, each after a long time")
{
    auto state = blockedState(7, true);
    auto now = start + 2s;
    CHECK_FALSE(dueTrial(state, now + 1min, Parts { 7 }));
    for (std::uint32_t trials = 0; trials < 3; ++trials) {
        now += 11min;
        CHECK(dueTrial(state, now, Parts { 7 }) == ListedPart { 7, trials });
        CHECK_FALSE(dueTrial(state, now + 1s, Parts { 7 }));
        CHECK_FALSE(tryBeginTrial(state, now, Parts { 7 }));
        allowTrial(state, now, 7);
        CHECK(tryBeginTrial(state, now + 1s, Parts { 6, 7 }));
        CHECK_FALSE(tryBeginTrial(state, now + 1s, Parts { 7 }));
        applyListedParts(state, now, std::vector<ListedPart> { { 7, trials + 1 } });
    }
    CHECK_FALSE(dueTrial(state, now + 1h, Parts { 7 }));
    // A permission that was not used in time is void.
    allowTrial(state, now, 7);
    CHECK_FALSE(tryBeginTrial(state, now + 1h, Parts { 7 }));
}

// Guards against memory that grows with the parts that callers choose.
TEST_CASE("the state is bounded")
{
    PromptPartCrashes state;
    for (std::uint64_t number = 0; number < 20'000; ++number) {
        recordHarmlessParts(state, start, Parts { number }, true);
        addCrashedPrompt(state, start, { .process = number, .signature = number, .parts = { number } });
        addCrashedPrompt(state, start, { .process = 1, .signature = number, .parts = { number } });
    }
    CHECK(state.harmlessParts.size() + state.olderHarmlessParts.size() <= 4'096);
    CHECK(state.crashes.size() <= 64);
    for (const auto& crash : state.crashes)
        CHECK(crash.prompts.size() <= 32);
}

// Guards against memory that grows with the length of prompts.
TEST_CASE("the parts of long prompts are bounded")
{
    PromptPartCrashes state;
    for (std::uint64_t number = 0; number < 2'000; ++number) {
        Parts parts(1'000);
        std::iota(parts.begin(), parts.end(), number * parts.size());
        recordHarmlessParts(state, start, parts, true);
        // Each crash has a hundred pieces of prompts.
        for (std::uint32_t first = 0; first < parts.size(); first += maxReportedParts) {
            const auto piece = std::span(parts).subspan(first, std::min(maxReportedParts, parts.size() - first));
            addCrashedPrompt(state, start + 1min, { .process = number / 4, .signature = number, .parts = { piece.begin(), piece.end() }, .firstPosition = first });
        }
    }
    CHECK(state.harmlessParts.size() + state.olderHarmlessParts.size() <= 70'000);
    std::size_t parts = 0;
    for (const auto& crash : state.crashes) {
        for (const auto& prompt : crash.prompts)
            parts += prompt.parts.size();
    }
    CHECK(parts <= 65'536);
    CHECK(parts > 32'768);
    CHECK(state.droppedParts == 2'000'000 - parts);
}

// Guards against crashes that are forgotten without a trace.
TEST_CASE("parts of crashes beyond the number that is kept are counted")
{
    constexpr std::uint64_t crashes = 70;
    constexpr std::uint64_t kept = 64;
    PromptPartCrashes state;
    for (std::uint64_t process = 1; process <= crashes; ++process)
        addCrashedPrompt(state, start, { .process = process, .signature = process, .parts = { 1, process } });
    CHECK(state.crashes.size() == kept);
    CHECK(state.droppedParts == 2 * (crashes - kept));
}

// Guards against sound parts of long prompts that are blocked, because the answers that show them to be harmless are forgotten
// after a few other prompts.
TEST_CASE("answers to long prompts are remembered as long as those to short ones")
{
    PromptPartCrashes state;
    Parts sound(1'000);
    std::iota(sound.begin(), sound.end(), 1);
    recordHarmlessParts(state, start, sound, true);
    for (std::uint64_t number = 1; number <= 30; ++number) {
        Parts other(1'000);
        std::iota(other.begin(), other.end(), number * 10'000);
        recordHarmlessParts(state, start + 1s, other, true);
    }
    CHECK(areHarmless(state, start + 2s, sound));
}

// Guards against a cause that is not compared because the engine had more requests than are kept of one crash.
TEST_CASE("a prompt with a suspicious part replaces one that is known to be harmless")
{
    PromptPartCrashes state;
    recordHarmlessParts(state, start, Parts { 1 }, true);
    for (std::uint64_t crashed = 1; crashed <= 2; ++crashed) {
        const auto now = start + crashed * 1s;
        for (std::uint64_t request = 0; request < 47; ++request)
            addCrashedPrompt(state, now, { .process = crashed, .signature = crashed * 100 + request, .parts = { 1 } });
        addCrashedPrompt(state, now, { .process = crashed, .signature = crashed, .parts = { 1, 7 } });
        CHECK(state.crashes.back().prompts.size() == 32);
    }
    CHECK(blockCrashingParts(state, start + 2s + settled) == Parts { 7 });
    CHECK(state.droppedParts > 0);
}

namespace {

auto callState() -> PromptPartCrashes
{
    return { .rules = callCrashRules };
}

/// Lets a server process crash with these calls in flight.
auto crashWith(PromptPartCrashes& state, TimePoint now, std::uint64_t process, const Parts& signatures, Duration age = 0s) -> void
{
    for (const auto signature : signatures)
        addCrashedPrompt(state, now, { .process = process, .signature = signature, .parts = { signature } }, age);
}

}

// Guards against blocking a harmless call that was retried beside a crashing one, and against waiting for ever when the two
// can't be told apart.
TEST_CASE("of the calls at two crashes one is blocked when the other has got an answer, or at the third crash")
{
    auto state = callState();
    crashWith(state, start, 1, { 7, 8 });
    crashWith(state, start + 3s, 2, { 7, 8, 9 });
    CHECK(blockCrashingParts(state, start + 4s).empty());
    CHECK(isSuspicious(state, start + 4s, 7));
    auto answered = state;
    recordHarmlessParts(answered, start + 5s, Parts { 8 }, true);
    reconsiderCrashes(answered, start + 5s);
    CHECK(blockCrashingParts(answered, start + 5s) == Parts { 7 });
    CHECK_FALSE(isSuspicious(answered, start + 5s, 8));
    crashWith(state, start + 6s, 3, { 7 });
    CHECK(blockCrashingParts(state, start + 7s) == Parts { 7 });
    CHECK_FALSE(hasBlockedPart(state, Parts { 8 }));
}

// Guards against blocking a call that many callers send, which is at most crashes.
TEST_CASE("a call that has just been answered is not blamed for a crash, also if the crash is known late")
{
    auto state = callState();
    for (std::uint64_t process = 1; process <= 3; ++process) {
        const auto crashedAt = start + process * 10s;
        recordHarmlessParts(state, crashedAt - 100ms, Parts { 7 }, process < 3);
        // The servers start again, and are known to have crashed, after longer than an answer counts.
        crashWith(state, crashedAt + 3s, process, { 7, 8 }, 3s);
        CHECK(blockCrashingParts(state, crashedAt + 3s + settled) == (process == 2 ? Parts { 8 } : Parts {}));
    }
    CHECK_FALSE(hasBlockedPart(state, Parts { 7 }));
}

// Guards against one crash that counts twice because instances find it out at different times.
TEST_CASE("late reports of one crash are added to it")
{
    auto state = callState();
    crashWith(state, start, 1, { 7 });
    crashWith(state, start + 4s, 1, { 7 }, 4s);
    CHECK(blockCrashingParts(state, start + 5s).empty());
}
