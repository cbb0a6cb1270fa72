#include "PlainWaiting.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

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

// Load: servers that are full of calls of other instances reject a call. Guards against a call that is sent again at once, that
// is held although nothing is known about the next slot or the budget has no retry, and against a wait beyond its target.
TEST_CASE("a call that every server has rejected waits if a slot is expected in time")
{
    const SlotInputs rejected { .work = plainWork(1), .duration = 30ms, .slots = 12, .freeSlots = 12, .isRejected = true, .retryAt = now + waitAfterRejection(30ms), .hasRetry = true };
    const auto decision = decideSlot(rejected, now);
    CHECK(decision.step == SlotStep::Wait);
    CHECK(decision.wait == 15ms);
    CHECK(decideSlot(rejected, now + 15ms).step == SlotStep::Take);
    auto unknown = rejected;
    unknown.duration.reset();
    CHECK(decideSlot(unknown, now + 15ms).step == SlotStep::Refuse);
    auto withoutRetry = rejected;
    withoutRetry.hasRetry = false;
    CHECK(decideSlot(withoutRetry, now + 15ms).step == SlotStep::Refuse);
    auto late = rejected;
    late.retryAt = now + 121ms;
    CHECK(decideSlot(late, now).step == SlotStep::Refuse);
    CHECK_FALSE(decideSlot(late, now).isDisplaced);
}

// Load: more costly calls arrive while a call waits for the last slot in time. Guards against an operator who can't see which
// calls are refused in favour of others.
TEST_CASE("a call that later ones have overtaken is refused as displaced")
{
    SlotInputs inputs { .work = plainWork(1), .duration = 30ms, .before = 20, .overtaking = 18, .slots = 4, .freeSlots = 0 };
    CHECK(decideSlot(inputs, now).step == SlotStep::Refuse);
    CHECK(decideSlot(inputs, now).isDisplaced);
    inputs.overtaking = 2;
    CHECK_FALSE(decideSlot(inputs, now).isDisplaced);
    PlainWaiting waiting;
    auto later = plainWork(2, { 0, 0 });
    later.arrivedAt += 1ms;
    waiting.enter(callerCost(later, now));
    waiting.enter(callerCost(plainWork(3, { 0, 0 }), now));
    CHECK(waiting.countOvertaking(callerCost(plainWork(1), now)) == 1);
}

// Load: calls that found no slot beside calls that every server has rejected. Guards against free slots that go to others than
// the calls whose refusal costs most.
TEST_CASE("free slots go to the most costly calls, rejected or not")
{
    rc::prop("any calls and slots", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 20);
        const auto freeSlots = *rc::gen::inRange<std::uint32_t>(0, 20);
        PlainWaiting waiting;
        std::vector<CallerCost> costs;
        for (std::uint64_t id = 1; id <= count; ++id)
            costs.push_back(callerCost(plainWork(id, { *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 3) }), now));
        for (const auto& cost : costs)
            waiting.enter(cost);
        std::vector<CallerCost> served;
        for (const auto& cost : costs) {
            const SlotInputs inputs { .work = plainWork(cost.id), .duration = 30ms, .before = waiting.countBefore(cost), .slots = 20, .freeSlots = freeSlots, .isRejected = *rc::gen::arbitrary<bool>(), .hasRetry = true };
            if (decideSlot(inputs, now).step == SlotStep::Take)
                served.push_back(cost);
        }
        std::ranges::sort(costs, [](const auto& left, const auto& right) { return left > right; });
        costs.resize(std::min<std::size_t>(count, freeSlots));
        RC_ASSERT(served.size() == costs.size());
        for (const auto& cost : costs)
            RC_ASSERT(std::ranges::any_of(served, [&](const CallerCost& other) { return other.id == cost.id; }));
    });
}
