#include "CallerCost.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto work(std::uint64_t id, RequestRank rank = {}) -> RequestWork
{
    return {
        .rank = rank,
        .arrivedAt = TimePoint(1'000s),
        .latestOnTimeStart = TimePoint(1'001s),
        .deadline = TimePoint(1'010s),
        .allowedTime = 10s,
        .promptTokens = 3'200,
        .promptTokensLeft = 3'200,
        .outputTokens = 73,
        .outputTokensLeft = 73,
        .memoryBlocks = 2,
        .promptTokenTime = 20us,
        .outputTokenTime = 25ms,
        .id = id,
    };
}

constexpr TimePoint now(1'000s);

auto anyWork() -> RequestWork
{
    auto result = work(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    result.rank = { *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 4) };
    result.arrivedAt -= Duration(*rc::gen::inRange(0, 3) * 1'000'000);
    result.latestOnTimeStart -= Duration(*rc::gen::inRange(0, 3) * 1'000'000);
    result.promptTokensLeft = *rc::gen::element<std::uint64_t>(0, 3'200);
    result.outputTokensLeft = *rc::gen::inRange<std::uint64_t>(0, 74);
    return result;
}

}

// Load: more and less urgent callers beyond saturation. Guards against a priority that makes the place of a request worse.
TEST_CASE("a more urgent rank never lowers the cost of a refusal")
{
    rc::prop("a smaller priority of the customer or the kind", [] {
        auto less = anyWork();
        auto more = less;
        less.rank.customerPriority += *rc::gen::inRange(0, 3);
        less.rank.kindPriority += *rc::gen::inRange(0, 3);
        RC_ASSERT(callerCost(more, now) >= callerCost(less, now));
    });
}

// Load: requests of one instant. Guards against a refused request that depends on the order of arrival.
TEST_CASE("the cheapest refusal does not depend on the order of the requests")
{
    rc::prop("any permutation", [] {
        std::vector<CallerCost> costs;
        for (std::uint64_t id = 0; id < 12; ++id) {
            auto next = anyWork();
            next.id = id;
            costs.push_back(callerCost(next, now));
        }
        const auto first = costs[cheapestRefusal(costs)].id;
        std::rotate(costs.begin(), costs.begin() + *rc::gen::inRange(0, 12), costs.end());
        std::reverse(costs.begin(), costs.begin() + *rc::gen::inRange(0, 12));
        RC_ASSERT(costs[cheapestRefusal(costs)].id == first);
    });
}

// Load: customers' priorities against those of kinds. Guards against a kind that outranks the customer.
TEST_CASE("the customer's priority comes before that of the kind")
{
    CHECK(callerCost(work(1, { 0, 9 }), now) > callerCost(work(2, { 1, 0 }), now));
    CHECK(callerCost(work(1, { 1, 0 }), now) > callerCost(work(2, { 1, 1 }), now));
}

// Load: full memory. Guards against a refusal that wastes a prefill or all but the last tokens of an answer.
TEST_CASE("work already done makes a refusal more expensive")
{
    auto prefilled = work(1, { 1, 2 });
    prefilled.promptTokensLeft = 0;
    auto atLastTokens = prefilled;
    atLastTokens.outputTokensLeft = 2;
    CHECK(callerCost(prefilled, now) > callerCost(work(2, { 1, 0 }), now));
    CHECK(callerCost(atLastTokens, now) > callerCost(prefilled, now));
}

// Load: long requests beside short ones. Guards against long requests that are refused first.
TEST_CASE("the size of a request does not change the cost of its refusal")
{
    auto large = work(1);
    large.promptTokens = large.promptTokensLeft = 6'600;
    large.memoryBlocks = 5;
    CHECK(callerCost(large, now) == callerCost(work(1), now));
}

// Load: callers that retry. Guards against callers that are refused twice while new ones are served.
TEST_CASE("a caller that has come back costs more than a new one")
{
    auto returned = work(2);
    returned.deadline = returned.arrivedAt + 7s;
    CHECK(callerCost(returned, now) > callerCost(work(1), now));
}
