#include "PromptPartCrashes.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

using Parts = std::vector<std::uint64_t>;

constexpr TimePoint start { 1'000s };
/// By then the peers' reports of a crash have arrived.
constexpr Duration settled = 100ms;
/// The call that all callers send.
constexpr std::uint64_t common = 7;

auto callState() -> PromptPartCrashes
{
    return { .rules = callCrashRules };
}

/// Lets a server process end with these calls in flight.
/// @return the signatures that are blocked for it.
auto crashWith(PromptPartCrashes& state, TimePoint now, std::uint64_t process, const Parts& signatures) -> Parts
{
    for (const auto signature : signatures)
        addCrashedPrompt(state, now, { .process = process, .signature = signature, .parts = { signature } });
    return blockCrashingParts(state, now + settled);
}

auto answer(PromptPartCrashes& state, TimePoint now, std::uint64_t signature) -> void
{
    recordHarmlessParts(state, now, Parts { signature }, true);
}

/// Answers calls for some time.
/// @return the time of the last answer.
auto serve(PromptPartCrashes& state, TimePoint from, Duration length, std::uint64_t signature) -> TimePoint
{
    for (auto time = from; time < from + length; time += 50ms)
        answer(state, time, signature);
    return from + length - 50ms;
}

}

// Guards against blocking the call that all callers send because nobody could answer it while all servers were down.
TEST_CASE("time without any answer does not age the answers that speak for a call")
{
    auto state = callState();
    const auto last = serve(state, start, 5s, common);
    // All servers are killed at once and start again after 4 s. Two are killed once more before they answer.
    for (std::uint64_t process = 1; process <= 3; ++process)
        CHECK(crashWith(state, last + 10ms, process, { common }).empty());
    CHECK(crashWith(state, last + 4s, 4, { common }).empty());
    CHECK(crashWith(state, last + 4s + 20ms, 5, { common }).empty());
    answer(state, last + 5s, common);
    CHECK_FALSE(isSuspicious(state, last + 5s, common));
}

// Guards against a call that is never blamed because it had an answer before it began to crash servers.
TEST_CASE("a call that was answered before and crashes servers since is blocked after the time of other answers")
{
    auto state = callState();
    answer(state, start, common);
    serve(state, start, 3s, 100);
    CHECK(crashWith(state, start + 3s, 1, { common }).empty());
    CHECK(crashWith(state, start + 4s, 2, { common }) == Parts { common });
}

// Guards against a call that goes on crashing servers while no other call is answered.
TEST_CASE("a call that was answered before is blocked at the third crash in a row without an answer")
{
    auto state = callState();
    const auto last = serve(state, start, 5s, common);
    CHECK(crashWith(state, last + 100ms, 1, { common }).empty());
    CHECK(crashWith(state, last + 4s, 2, { common }).empty());
    CHECK(crashWith(state, last + 8s, 3, { common }) == Parts { common });
}

// Guards against a harmless call that stays blocked for a minute although it has been answered before.
TEST_CASE("a blocked call that has ever been answered is tried within a second")
{
    auto state = callState();
    const auto isKnown = GENERATE(true, false);
    if (isKnown)
        answer(state, start, common);
    serve(state, start, 5s, 100);
    const auto blockedAt = start + 6s + settled;
    crashWith(state, start + 5s, 1, { common });
    REQUIRE(crashWith(state, start + 6s, 2, { common }) == Parts { common });
    applyListedParts(state, blockedAt + 200ms, std::vector<ListedPart> { { common } });
    CHECK(dueTrial(state, blockedAt + 1s, Parts { common }).has_value() == isKnown);
    // The first trial ended without an answer.
    applyListedParts(state, blockedAt + 2s, std::vector<ListedPart> { { common, 1 } });
    CHECK(dueTrial(state, blockedAt + 7s, Parts { common }).has_value() == isKnown);
    applyListedParts(state, blockedAt + 8s, std::vector<ListedPart> { { common, 3 } });
    CHECK_FALSE(dueTrial(state, blockedAt + 3600s, Parts { common }));
}

// Guards against blocking the harmless one of two calls that were at the same crashes.
TEST_CASE("of two calls at three crashes the one without any answer is blocked, and tried early")
{
    auto state = callState();
    const auto other = GENERATE(std::uint64_t { 6 }, std::uint64_t { 8 });
    answer(state, start, common);
    serve(state, start, 5s, 100);
    CHECK(crashWith(state, start + 5s, 1, { common, other }).empty());
    CHECK(crashWith(state, start + 6s, 2, { common, other }).empty());
    CHECK(crashWith(state, start + 7s, 3, { common, other }) == Parts { other });
    applyListedParts(state, start + 8s, std::vector<ListedPart> { { other } });
    CHECK(dueTrial(state, start + 8s + settled, Parts { other }));
}

// Guards against a peer's old answer that clears the crashes after it, or ends a block that was decided with it known.
TEST_CASE("an answer that a peer reports counts from its own time")
{
    auto state = callState();
    serve(state, start, 10s, 100);
    CHECK(crashWith(state, start + 10s, 1, { common }).empty());
    CHECK(recordHarmlessParts(state, start + 1s, Parts { common }, false).empty());
    CHECK(crashWith(state, start + 11s, 2, { common }) == Parts { common });
    CHECK(recordHarmlessParts(state, start + 1s, Parts { common }, false).empty());
    CHECK(hasBlockedPart(state, Parts { common }));
    CHECK(recordHarmlessParts(state, start + 12s, Parts { common }, false) == Parts { common });
}

// Guards against a harmless call that stays blocked for a minute because all servers were killed before its first answer.
TEST_CASE("a call that was at simultaneous crashes only is tried early")
{
    auto state = callState();
    CHECK(crashWith(state, start, 1, { common }).empty());
    CHECK(crashWith(state, start + 5ms, 2, { common }) == Parts { common });
    applyListedParts(state, start + 300ms, std::vector<ListedPart> { { common } });
    CHECK(dueTrial(state, start + 2s, Parts { common }));
}

// Guards against an early trial, and one more crash, of a call that went on crashing servers after the simultaneous crashes
// for which it was blocked.
TEST_CASE("a call that was at a later crash than the simultaneous ones is not tried early")
{
    auto state = callState();
    CHECK(crashWith(state, start, 1, { common }).empty());
    CHECK(crashWith(state, start + 5ms, 2, { common }) == Parts { common });
    // The attempt began before the call was blocked.
    CHECK(crashWith(state, start + 65ms, 3, { common }).empty());
    applyListedParts(state, start + 300ms, std::vector<ListedPart> { { common } });
    CHECK_FALSE(dueTrial(state, start + 10s, Parts { common }));
    CHECK(dueTrial(state, start + 2min, Parts { common }));
}

// Guards against a harmless call that stays blocked for a minute because a crash became known late that was simultaneous
// with the others, or because the server of its trial was killed.
TEST_CASE("a late report and a crash in a trial leave the trials of a call early")
{
    auto state = callState();
    crashWith(state, start, 1, { common });
    REQUIRE(crashWith(state, start + 5ms, 2, { common }) == Parts { common });
    addCrashedPrompt(state, start + 200ms, { .process = 3, .signature = common, .parts = { common } }, 190ms);
    applyListedParts(state, start + 300ms, std::vector<ListedPart> { { common } });
    REQUIRE(dueTrial(state, start + 2s, Parts { common }));
    applyListedParts(state, start + 2050ms, std::vector<ListedPart> { { common, 1 } });
    CHECK(crashWith(state, start + 2100ms, 4, { common }).empty());
    CHECK(dueTrial(state, start + 8s, Parts { common }));
}
