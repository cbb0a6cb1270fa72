#include "PlainWaiting.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto plainWork(std::uint64_t id, RequestRank rank = {}) -> RequestWork
{
    return { .rank = rank, .arrivedAt = TimePoint(10s), .latestOnTimeStart = TimePoint(10s + 120ms), .deadline = TimePoint(10s + 800ms), .allowedTime = 800ms, .outputTokens = 1, .outputTokensLeft = 1, .outputTokenTime = 30ms, .id = id };
}

constexpr TimePoint now(10s);

}

// Load: plain calls of customers and kinds of different priorities beyond the slots of the servers. Guards against a slot that
// goes to the call which happens to ask first, and against a call that counts itself.
TEST_CASE("waiting calls get slots in the order of their costs")
{
    PlainWaiting waiting;
    for (const auto& work : { plainWork(1, { 1, 2 }), plainWork(2, { 1, 0 }), plainWork(3, { 0, 5 }), plainWork(4, { 1, 0 }) })
        waiting.enter(callerCost(work, now));
    CHECK(waiting.countBefore(callerCost(plainWork(3, { 0, 5 }), now)) == 0);
    CHECK(waiting.countBefore(callerCost(plainWork(2, { 1, 0 }), now)) == 1);
    CHECK(waiting.countBefore(callerCost(plainWork(4, { 1, 0 }), now)) == 2);
    CHECK(waiting.countBefore(callerCost(plainWork(1, { 1, 2 }), now)) == 3);
    waiting.enter(callerCost(plainWork(3, { 0, 5 }), now));
    waiting.leave(2);
    CHECK(waiting.size() == 3);
    CHECK(waiting.countBefore(callerCost(plainWork(1, { 1, 2 }), now)) == 2);
}

// Load: a burst of plain calls of 30 ms at three servers with four slots. Guards against calls that are held until their
// deadline although no slot is expected by their target, and against a wait for servers that take no calls.
TEST_CASE("a call waits only if a slot is expected by its target")
{
    const PlainSlots slots { 12, 30ms };
    CHECK(expectedSlotWait(slots, 11) == 30ms);
    CHECK(canWaitForSlot(plainWork(1), now, expectedSlotWait(slots, 11), 30ms));
    CHECK_FALSE(canWaitForSlot(plainWork(1), now, expectedSlotWait(slots, 60), 30ms));
    CHECK_FALSE(canWaitForSlot(plainWork(1), now + 121ms, expectedSlotWait(slots, 0), 30ms));
    CHECK_FALSE(canWaitForSlot(plainWork(1), now, expectedSlotWait({ 0, 30ms }, 0), 30ms));
    auto late = plainWork(1);
    late.deadline = now + 50ms;
    CHECK_FALSE(canWaitForSlot(late, now, 30ms, 30ms));
}
