#include "InstanceCount.h"
#include "RetryPolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <random>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 100ms;
constexpr Duration window = 10s;
constexpr Duration listInterval = 20s;
constexpr Duration dayLength = 400s;
constexpr Duration crashLoopStart = 360s;
constexpr RetryPolicy policy { .ratio = 0.2, .burst = 52, .isShared = true, .countsRejections = true };

/// One entry instance with its own view of the fleet.
struct Instance {
    std::string name;
    InstanceCount count;
    RetryBudget budget = makeRetryBudget(policy, 0);
    std::uint32_t knownInstances = 0;
    TimePoint nextList {};
    TimePoint nextWrite {};
    /// Until when the instance reaches neither the store nor its peers.
    TimePoint cutOffUntil {};
};

/// A fleet whose instances use every retry that their budgets allow during storms, while instances restart,
/// join, are lost and are cut off.
class Fleet {
public:
    explicit Fleet(std::uint32_t seed)
        : m_random(seed)
    {
        for (auto index = 0; index < 6; ++index)
            add();
    }

    auto run() -> void
    {
        while (m_now < start + dayLength) {
            m_now += step;
            changeInstances();
            for (auto& instance : m_instances)
                advance(instance);
            checkWindow();
        }
    }

private:
    static constexpr TimePoint start { 1'000s };

    struct Step {
        TimePoint time;
        double requests = 0;
        double retries = 0;
    };

    auto chance(double probability) -> bool { return std::uniform_real_distribution(0.0, 1.0)(m_random) < probability; }
    auto seconds(int most) -> Duration { return std::chrono::seconds(std::uniform_int_distribution(1, most)(m_random)); }
    auto any() -> Instance& { return m_instances[std::uniform_int_distribution<std::size_t>(0, m_instances.size() - 1)(m_random)]; }

    auto add() -> void
    {
        Instance instance { .name = "entry-" + std::to_string(++m_lastName) };
        instance.nextList = m_now + 1s + step * 10;
        m_instances.push_back(std::move(instance));
    }

    auto changeInstances() -> void
    {
        // During a crash loop, processes restart many times within a window. Before it they run long enough
        // to forget the instances that they can't see.
        const auto isCrashLoop = m_now >= start + crashLoopStart;
        if (chance(isCrashLoop ? 0.3 : 0.001)) {
            auto& instance = any();
            instance = { .name = instance.name, .nextList = m_now + 2s, .cutOffUntil = instance.cutOffUntil };
        }
        if (m_instances.size() < 10 && chance(0.005))
            add();
        if (m_instances.size() > 4 && chance(0.005))
            m_instances.erase(m_instances.begin() + static_cast<std::ptrdiff_t>(&any() - m_instances.data()));
        if (m_now >= m_healedAt && chance(0.003)) {
            // Some instances lose the store and their peers, for longer than the lifetime of a record.
            m_healedAt = m_now + seconds(150);
            for (auto& instance : m_instances)
                instance.cutOffUntil = chance(0.5) ? m_healedAt : TimePoint {};
        }
        if (m_now >= m_stormChangesAt) {
            m_isStorm = !m_isStorm;
            m_stormChangesAt = m_now + seconds(20);
        }
    }

    auto advance(Instance& instance) -> void
    {
        if (m_now >= instance.cutOffUntil)
            synchronize(instance);
        const auto requests = std::uniform_int_distribution(0, 3)(m_random);
        m_steps.back().requests += requests;
        for (auto request = 0; request < requests; ++request)
            instance.budget.recordRequest();
        while (m_isStorm && instance.budget.tryConsume())
            m_steps.back().retries += 1;
    }

    auto synchronize(Instance& instance) -> void
    {
        if (m_now >= instance.nextWrite) {
            m_records[instance.name] = ++m_revision;
            instance.nextWrite = m_now + listInterval;
        }
        if (m_now >= instance.nextList) {
            beginList(instance.count, m_now);
            for (const auto& [name, revision] : m_records)
                recordInstance(instance.count, m_now, name, revision);
            instance.nextList = m_now + listInterval;
            instance.knownInstances = liveInstances(instance.count, m_now);
        }
        for (const auto& peer : m_instances) {
            if (m_now >= peer.cutOffUntil && peer.knownInstances > 0 && recordMessage(instance.count, m_now, peer.name) && instance.knownInstances > 0)
                instance.knownInstances = liveInstances(instance.count, m_now);
        }
        instance.budget.updateLimits(budgetLimits(policy, instance.knownInstances));
    }

    auto checkWindow() -> void
    {
        double requests = 0;
        double retries = 0;
        for (const auto& past : m_steps) {
            requests += past.requests;
            retries += past.retries;
        }
        RC_ASSERT(retries <= policy.ratio * requests + policy.burst);
        m_steps.push_back({ m_now });
        while (m_now - m_steps.front().time >= window)
            m_steps.pop_front();
    }

    std::minstd_rand m_random;
    TimePoint m_now = start;
    std::vector<Instance> m_instances;
    std::uint32_t m_lastName = 0;
    std::map<std::string, std::int64_t> m_records;
    std::int64_t m_revision = 0;
    TimePoint m_healedAt {};
    TimePoint m_stormChangesAt {};
    bool m_isStorm = false;
    std::deque<Step> m_steps { { start } };
};

}

// Guards against a fleet whose retries exceed the shared budget while instances restart, join, are lost or
// are cut off, which no single instance can see.
TEST_CASE("the retries of a fleet stay within the shared budget in every window")
{
    rc::prop("in every window of ten seconds", [](std::uint32_t seed) { Fleet(seed).run(); });
}

// Guards against an instance that takes a larger part of the budget because it can't see the others.
TEST_CASE("an instance that could not read the list keeps counting the others")
{
    constexpr TimePoint start { 1'000s };
    InstanceCount count;
    const auto list = [&](TimePoint now, std::int64_t revision) {
        beginList(count, now);
        recordInstance(count, now, "a", revision);
        recordInstance(count, now, "b", revision);
    };
    list(start, 1);
    CHECK(liveInstances(count, start) == 2);
    // No instance could write while the store was unavailable.
    list(start + 300s, 1);
    CHECK(liveInstances(count, start + 300s) == 2);
    list(start + 320s, 1);
    list(start + 340s, 1);
    CHECK(liveInstances(count, start + 340s) == 1);
}

// Guards against an instance that does not count a new one until it reads the list again.
TEST_CASE("an instance is counted from its first message")
{
    constexpr TimePoint start { 1'000s };
    InstanceCount count;
    beginList(count, start);
    recordInstance(count, start, "a", 1);
    CHECK_FALSE(recordMessage(count, start, "a"));
    CHECK(recordMessage(count, start + 1s, "b"));
    CHECK_FALSE(recordMessage(count, start + 2s, "b"));
    CHECK(liveInstances(count, start + 2s) == 2);
    CHECK(liveInstances(count, start + 70s) == 1);
}
