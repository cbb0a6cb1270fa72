#include "ResponseBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace jayhold;

namespace {

constexpr std::size_t unit = 100'000;
constexpr std::size_t limit = 10 * unit;

/// A budget and the names of the servers whose responses it has ended.
struct BudgetFixture {
    BudgetFixture()
    {
        budget.onEnded([this](const EndedResponse& response) { ended.push_back(response.server); });
    }

    auto add(const std::string& server, std::size_t bytes = 0) -> ResponseBudget::ResponseId
    {
        const auto id = budget.add(server, [this, server] { told.push_back(server); });
        REQUIRE(budget.resize(id, bytes));
        return id;
    }

    ResponseBudget budget { limit };
    std::vector<std::string> ended;
    /// Servers whose responses were told to end.
    std::vector<std::string> told;
};

}

// Guards against calls to sound servers that fail because a faulty one has used up the budget.
TEST_CASE("the response that holds most is ended for a smaller one")
{
    BudgetFixture fixture;
    fixture.add("small", 2 * unit);
    const auto large = fixture.add("large", 6 * unit);
    const auto asking = fixture.add("asking");
    CHECK(fixture.budget.resize(asking, 3 * unit));
    CHECK(fixture.ended == std::vector<std::string> { "large" });
    CHECK(fixture.told == std::vector<std::string> { "large" });
    CHECK_FALSE(fixture.budget.resize(large, 7 * unit));
    CHECK_FALSE(fixture.budget.complete(large));
    fixture.budget.remove(large);
    CHECK(fixture.budget.heldBytes() == 5 * unit);
    CHECK(fixture.budget.endedResponses() == 1);
}

// Guards against a large response of a sound server that is ended because a faulty server's many responses are smaller.
TEST_CASE("the responses of the server that holds most are ended first")
{
    BudgetFixture fixture;
    for (int call = 0; call < 4; ++call)
        fixture.add("faulty", 2 * unit);
    const auto sound = fixture.add("sound");
    CHECK(fixture.budget.resize(sound, 4 * unit));
    CHECK(fixture.ended == std::vector<std::string> { "faulty" });
}

// Guards against a faulty response that goes on while others are ended for it.
TEST_CASE("the response that asks is ended if it would hold most")
{
    BudgetFixture fixture;
    const auto small = fixture.add("small", 4 * unit);
    const auto asking = fixture.add("asking", 5 * unit);
    CHECK_FALSE(fixture.budget.resize(asking, 7 * unit));
    CHECK(fixture.ended == std::vector<std::string> { "asking" });
    CHECK(fixture.budget.resize(small, 5 * unit));
    CHECK(fixture.budget.heldBytes() == 10 * unit);
}

// Guards against refused calls with small responses, and against whole responses that are dropped although their
// callers are reading them.
TEST_CASE("small responses and whole ones are never ended")
{
    BudgetFixture fixture;
    const auto whole = fixture.add("whole", limit);
    CHECK(fixture.budget.complete(whole));
    const auto small = fixture.add("small", ResponseBudget::uncountedBytes);
    CHECK(fixture.budget.heldBytes() == limit);
    CHECK_FALSE(fixture.budget.resize(small, ResponseBudget::uncountedBytes + 1));
    CHECK(fixture.ended == std::vector<std::string> { "small" });
    fixture.budget.remove(whole);
    CHECK(fixture.budget.heldBytes() == 0);
}

// Guards against bytes that are held over the limit, or that stay counted, in any order of events.
TEST_CASE("the bytes held stay bounded")
{
    rc::prop("responses grow, end and complete in any order", [] {
        ResponseBudget budget(limit);
        std::map<ResponseBudget::ResponseId, std::size_t> bytes;
        std::size_t inTransit = 0;
        for (int step = 0; step < 200; ++step) {
            const auto event = *rc::gen::inRange(0, 8);
            if (event < 2 || bytes.empty()) {
                bytes[budget.add("s", [&] { ++inTransit; })] = 0;
                continue;
            }
            auto response = std::next(bytes.begin(), *rc::gen::inRange<int>(0, static_cast<int>(bytes.size())));
            if (event == 2) {
                budget.complete(response->first);
            } else if (event == 3) {
                budget.remove(response->first);
                bytes.erase(response);
            } else {
                const auto size = *rc::gen::inRange<std::size_t>(0, 4 * unit);
                if (budget.resize(response->first, size))
                    response->second = size > ResponseBudget::uncountedBytes ? size : 0;
            }
            std::size_t total = 0;
            for (const auto& [id, size] : bytes)
                total += size;
            RC_ASSERT(budget.heldBytes() == total);
            RC_ASSERT(total <= 2 * limit);
            RC_ASSERT(inTransit <= budget.endedResponses());
        }
        while (!bytes.empty()) {
            budget.remove(bytes.begin()->first);
            bytes.erase(bytes.begin());
        }
        RC_ASSERT(budget.heldBytes() == 0U);
        const auto next = budget.add("s", nullptr);
        RC_ASSERT(budget.resize(next, limit));
    });
}
