#include "QuotaOwner.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

auto customerWith(double perSecond, double burst) -> Customer
{
    Customer customer;
    customer.name = "grocer";
    customer.quota = { .perSecond = perSecond, .burst = burst, .unit = QuotaUnit::Tokens };
    return customer;
}

auto address(const std::string& instance, const std::string& zone) -> PeerAddress
{
    return { { "127.0.0.1", 1 }, zone, instance };
}

/// An instance of a zone with others, which are all live, with 1,000 tokens a second.
struct Instance {
    explicit Instance(const std::string& name, const std::vector<PeerAddress>& instances = { address("edge-1", "alpine"), address("edge-2", "alpine"), address("edge-3", "alpine") })
    {
        state.view.instance = name;
        state.view.zone = "alpine";
        handleInstances(state, instances);
        for (const auto& other : instances)
            handlePresence(state, start, other.instance, other.availabilityZone, false);
        setQuota(1'000, 1'000);
    }

    auto setQuota(double perSecond, double burst) -> void
    {
        QuotaOutput output;
        const std::vector<Customer> customers { customerWith(perSecond, burst) };
        updateQuotas(state, start, customers, output);
    }

    auto ask(TimePoint now, std::int64_t amount) -> QuotaOutput
    {
        QuotaOutput output;
        askQuota(state, now, "grocer", amount, output);
        return output;
    }

    auto receive(TimePoint now, const QuotaMessage& message) -> QuotaOutput
    {
        QuotaOutput output;
        handleQuotaMessage(state, now, message, output);
        return output;
    }

    /// Advances in steps of 10 ms, with messages of all peers of the zone but one.
    auto advanceTo(TimePoint end, const std::string& silent) -> QuotaOutput
    {
        QuotaOutput output;
        for (; now < end; now += 10ms) {
            for (const auto& [name, zone] : state.view.known) {
                if (name != silent)
                    handlePresence(state, now, name, zone, false);
            }
            advance(state, now, output);
        }
        return output;
    }

    auto owner() -> std::string { return state.accounts.at("grocer").owner; }
    auto level() -> double { return state.accounts.at("grocer").bucket.level; }

    QuotaOwner state;
    TimePoint now = start;
};

auto ownerName() -> std::string
{
    return Instance("edge-1").owner();
}

auto otherName() -> std::string
{
    return ownerName() == "edge-1" ? "edge-2" : "edge-1";
}

auto question(std::uint64_t id, std::int64_t amount) -> QuotaMessage
{
    return { .type = QuotaMessageType::Ask, .instance = otherName(), .zone = "alpine", .id = id, .customer = "grocer", .amount = amount };
}

}

// Guards against a message for a request whose owner is this instance, and against a wait for it.
TEST_CASE("an owner decides on its own requests without a message")
{
    Instance instance(ownerName());
    const auto granted = instance.ask(start + 500ms, 400);
    CHECK(granted.messages.empty());
    REQUIRE(granted.outcomes.size() == 1);
    CHECK(granted.outcomes.front().decision.isGranted);
    const auto refused = instance.ask(start + 500ms, 400);
    REQUIRE(refused.outcomes.size() == 1);
    CHECK(refused.outcomes.front().decision.retryAfter == 300ms);
    // The next caller is told to come back after the first one.
    CHECK(instance.ask(start + 500ms, 400).outcomes.front().decision.retryAfter == 700ms);
    CHECK(instance.ask(start + 800ms, 400).outcomes.front().decision.isGranted);
}

// Guards against an amount that is deducted twice because a question was repeated, or returned twice.
TEST_CASE("a repeated question and a repeated return count once")
{
    Instance instance(ownerName());
    const auto first = instance.receive(start + 900ms, question(7, 300));
    const auto second = instance.receive(start + 900ms, question(7, 300));
    REQUIRE(first.messages.size() == 1);
    CHECK(first.messages.front().message.type == QuotaMessageType::Granted);
    REQUIRE(second.messages.size() == 1);
    CHECK(second.messages.front().message == first.messages.front().message);
    CHECK(instance.level() == Approx(600));
    auto back = question(7, 300);
    back.type = QuotaMessageType::Return;
    instance.receive(start + 900ms, back);
    instance.receive(start + 900ms, back);
    CHECK(instance.level() == Approx(900));
}

// Guards against two owners: an instance that takes over while the owner is only unreachable for it.
TEST_CASE("an instance that is not the owner does not grant")
{
    Instance instance(otherName());
    const auto output = instance.receive(start + 900ms, question(7, 300));
    REQUIRE(output.messages.size() == 1);
    CHECK(output.messages.front().message.type == QuotaMessageType::NotOwner);
    CHECK(output.messages.front().message.owner == ownerName());
}

// Guards against callers that wait for an owner that is dead, and against requests that are refused after its succession.
TEST_CASE("a silent owner is replaced after 2.5 s")
{
    Instance instance(otherName());
    const auto asked = instance.ask(start, 100);
    REQUIRE(asked.messages.size() == 1);
    CHECK(asked.messages.front().instance == ownerName());
    const auto output = instance.advanceTo(start + 300ms, ownerName());
    // The question was sent three times in all, and then to the next owner, unless that is the instance itself.
    CHECK(std::ranges::count(output.messages, ownerName(), &QuotaOutput::Outgoing::instance) == 2);
    REQUIRE(output.outcomes.size() == 1);
    CHECK_FALSE(output.outcomes.front().decision.isGranted);
    CHECK(output.outcomes.front().decision.retryAfter > 2s);
    instance.advanceTo(start + 2'600ms, ownerName());
    CHECK(instance.owner() != ownerName());
    CHECK_FALSE(instance.owner().empty());
}

// Guards against a bucket that a process has filled while it stood still and another owner granted.
TEST_CASE("a pause empties the bucket")
{
    Instance instance(ownerName());
    instance.advanceTo(start + 900ms, {});
    CHECK(instance.level() > 700);
    for (const auto* peer : { "edge-1", "edge-2", "edge-3" })
        handlePresence(instance.state, start + 3s, peer, "alpine", false);
    CHECK_FALSE(instance.ask(start + 3s, 100).outcomes.front().decision.isGranted);
}

// Guards against an instance that is cut off and uses the share of all.
TEST_CASE("an isolated instance has its own share only")
{
    Instance instance(ownerName());
    QuotaOutput output;
    for (auto now = start; now <= start + 3s; now += 100ms)
        advance(instance.state, now, output);
    CHECK(instance.state.isIsolated);
    CHECK_FALSE(instance.ask(start + 3s, 300).outcomes.front().decision.isGranted);
    for (auto now = start + 3s; now <= start + 4s; now += 100ms)
        advance(instance.state, now, output);
    const auto decision = instance.ask(start + 4s, 300).outcomes.front().decision;
    CHECK(decision.isGranted);
    CHECK(decision.grant.isIsolated);
    CHECK_FALSE(instance.ask(start + 4s, 300).outcomes.front().decision.isGranted);
}

// Guards against a draining owner that takes the tokens with it, or is asked again.
TEST_CASE("a draining instance is no owner")
{
    Instance instance(ownerName());
    instance.state.view.isDraining = true;
    instance.state.isViewChanged = true;
    const auto output = instance.receive(start + 500ms, question(7, 100));
    REQUIRE(output.messages.size() == 1);
    CHECK(output.messages.front().message.type == QuotaMessageType::NotOwner);
    CHECK(output.messages.front().message.isDraining);
    CHECK(output.messages.front().message.owner != ownerName());
}

// Guards against a message that another instance reads differently from what was sent.
TEST_CASE("messages about quotas are read as they were written")
{
    QuotaMessage message { .type = QuotaMessageType::Refused, .instance = "edge-1", .zone = "alpine", .id = ~0ULL, .customer = "a\"b", .amount = 1'000'000'000'000, .retryAfter = 1'234'567us, .available = -5, .promised = 7, .owner = "edge-2", .isDraining = true };
    const auto text = serializeQuotaMessage(message);
    CHECK(isQuotaMessage(text));
    CHECK(parseQuotaMessage(text) == message);
    for (const auto* odd : { "", "{}", R"({"quota":"ask"})", R"({"quota":"buy","from":"a","id":1,"amount":1})", R"({"quota":"ask","from":"a","id":1,"amount":-1})", R"({"quota":"ask","from":"a","id":1,"amount":1e300})" })
        CHECK_FALSE(parseQuotaMessage(odd));
}
