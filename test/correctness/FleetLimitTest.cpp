#include "BackendLimits.h"
#include "CallAllowance.h"
#include "InstanceCount.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <random>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 50ms;
constexpr Duration window = 4s;
constexpr Duration dayLength = 120s;
constexpr Duration listInterval = 20s;
constexpr Duration joinDelay = 2s;
constexpr Duration messageInterval = 500ms;
/// Time for which an instance must have been undisturbed to be bound by the limit.
constexpr Duration stableTime = 3s;
constexpr Duration settlingTime = 5s;

/// One entry instance with its own view of the fleet and its part of one server's limit.
struct Instance {
    std::string name;
    TimePoint startedAt {};
    TimePoint undisturbedSince {};
    TimePoint cutOffUntil {};
    TimePoint nextList {};
    InstanceCount count {};
    std::vector<std::string> known {};
    /// This instance's part of the limit, as long as the names it knows stay the same.
    std::optional<CallRate> rate {};
    bool isSettled = false;
    std::optional<CallAllowance> allowance {};
};

/// A fleet that sends as many calls to a limited server as its instances may, in storms between which they
/// save up calls, while instances restart, join, are lost and are cut off.
class Fleet {
public:
    Fleet(std::uint32_t seed, std::size_t instances, double limit)
        : m_random(seed)
        , m_limit(limit)
        , m_mostInstances(instances + instances / 2)
    {
        for (std::size_t index = 0; index < instances; ++index)
            add(start - 60s);
    }

    auto run() -> void
    {
        while (m_now < start + dayLength) {
            m_now += step;
            change();
            for (auto& instance : m_instances)
                advance(instance);
            checkWindow();
        }
    }

    double calls = 0;

private:
    static constexpr TimePoint start { 1'000s };

    auto chance(double probability) -> bool { return std::uniform_real_distribution(0.0, 1.0)(m_random) < probability; }
    auto any() -> Instance& { return m_instances[std::uniform_int_distribution<std::size_t>(0, m_instances.size() - 1)(m_random)]; }

    auto add(TimePoint startedAt) -> void
    {
        m_instances.push_back({ .name = "entry-" + std::to_string(++m_lastName), .startedAt = startedAt, .undisturbedSince = startedAt, .nextList = startedAt + 100ms });
    }

    auto change() -> void
    {
        if (chance(0.01)) {
            auto& instance = any();
            instance = { .name = instance.name, .startedAt = m_now, .undisturbedSince = m_now, .nextList = m_now + 100ms };
        }
        if (m_instances.size() < m_mostInstances && chance(0.02))
            add(m_now);
        if (m_instances.size() > m_mostInstances / 2 && chance(0.005))
            m_instances.erase(m_instances.begin() + static_cast<std::ptrdiff_t>(&any() - m_instances.data()));
        if (chance(0.005)) {
            auto& instance = any();
            instance.cutOffUntil = m_now + std::chrono::seconds(std::uniform_int_distribution(1, 20)(m_random));
            instance.undisturbedSince = instance.cutOffUntil;
        }
        if (m_now >= m_stormChangesAt) {
            m_isStorm = !m_isStorm;
            m_stormChangesAt = m_now + std::chrono::seconds(std::uniform_int_distribution(1, 10)(m_random));
        }
    }

    auto advance(Instance& instance) -> void
    {
        if (m_now >= instance.cutOffUntil)
            synchronize(instance);
        const auto isSettled = m_now - instance.startedAt >= settlingTime;
        const auto hasSettled = std::exchange(instance.isSettled, isSettled) != isSettled;
        if (hasSettled || !instance.rate)
            instance.rate = divideLimit(m_limit, "server", instance.name, instance.known, isSettled);
        if (instance.allowance)
            instance.allowance->updateRate(*instance.rate, m_now);
        else
            instance.allowance.emplace(*instance.rate, m_now);
        while (m_isStorm && instance.allowance->tryTake(m_now)) {
            ++calls;
            if (m_now - instance.undisturbedSince >= stableTime)
                m_calls.push_back(m_now);
        }
    }

    auto synchronize(Instance& instance) -> void
    {
        if (m_now >= instance.nextList) {
            beginList(instance.count, m_now);
            for (const auto& peer : m_instances)
                recordInstance(instance.count, m_now, peer.name, ++m_revision);
            // An instance lists again soon after its start, and then rarely.
            instance.nextList = m_now + (m_now - instance.startedAt < joinDelay ? joinDelay : listInterval);
            updateKnown(instance);
        }
        if (instance.known.empty())
            return;
        for (const auto& peer : m_instances) {
            const auto isHeard = m_now >= peer.cutOffUntil && (m_now - peer.startedAt) % messageInterval < step;
            if (isHeard && recordMessage(instance.count, m_now, peer.name))
                updateKnown(instance);
        }
    }

    auto updateKnown(Instance& instance) -> void
    {
        auto known = liveInstanceNames(instance.count, m_now);
        if (known == instance.known)
            return;
        instance.known = std::move(known);
        instance.rate.reset();
    }

    auto checkWindow() -> void
    {
        while (!m_calls.empty() && m_now - m_calls.front() >= window)
            m_calls.pop_front();
        RC_ASSERT(static_cast<double>(m_calls.size()) <= 1.5 * m_limit * 4 + 5);
    }

    std::minstd_rand m_random;
    const double m_limit;
    const std::size_t m_mostInstances;
    TimePoint m_now = start;
    std::vector<Instance> m_instances;
    std::uint32_t m_lastName = 0;
    std::int64_t m_revision = 0;
    TimePoint m_stormChangesAt {};
    bool m_isStorm = false;
    std::deque<TimePoint> m_calls;
};

constexpr TimePoint now { 1'000s };

auto observation(std::optional<double> perSecond, TimePoint sentAt, TimePoint observedAt, const std::string& incarnation = "run-1") -> LimitObservation
{
    return { "server", incarnation, perSecond, sentAt, observedAt };
}

auto limitOf(const BackendLimits& limits, const std::string& incarnation) -> std::optional<double>
{
    const auto known = limits.observations.find("server");
    return known == limits.observations.end() || known->second.incarnation != incarnation ? std::nullopt : known->second.perSecond;
}

}

// Guards against a fleet whose instances each keep to a limit that all of them together exceed, while
// instances restart, join, are lost or are cut off.
TEST_CASE("the calls of a fleet stay within the limit that a server names, in every window")
{
    rc::prop("in every window of four seconds", [](std::uint32_t seed) {
        const auto limit = *rc::gen::element(0.3, 1.0, 2.5, 13.0);
        const auto instances = *rc::gen::element<std::size_t>(3, 7, 61);
        Fleet(seed, instances, limit).run();
    });
}

// Guards against a limited server that is left unused because only some instances get a share.
TEST_CASE("the parts of a limit add up to the limit")
{
    std::vector<std::string> names;
    for (const auto count : { 1, 7, 61 }) {
        while (names.size() < static_cast<std::size_t>(count))
            names.push_back("entry-" + std::to_string(names.size()));
        for (const auto limit : { 0.5, 1.0, 13.0, 400.0, 1e300 }) {
            double rate = 0;
            double capacity = 0;
            for (const auto& name : names) {
                const auto part = divideLimit(limit, "server", name, names, true);
                rate += part.perSecond;
                capacity += part.capacity;
                CHECK(part.initial == part.capacity);
                CHECK(divideLimit(limit, "server", name, names, false).initial == 0);
            }
            CHECK(rate == Approx(limit));
            CHECK(capacity >= 1);
            CHECK(capacity <= 2 * limit + 5);
        }
    }
    CHECK(divideLimit(1, "server", "entry-1", {}, true) == CallRate {});
}

// Guards against a limit that never ends, that a late response ends too early, or that a new process of the
// server inherits.
TEST_CASE("the newest response decides about a limit")
{
    BackendLimits limits;
    CHECK_FALSE(recordLimit(limits, observation(std::nullopt, now, now)));
    CHECK(limits.observations.empty());
    CHECK(recordLimit(limits, observation(2, now, now + 10ms)));
    CHECK_FALSE(recordLimit(limits, observation(2, now + 1s, now + 2s)));
    // The call was sent before the server named its limit.
    CHECK_FALSE(recordLimit(limits, observation(std::nullopt, now + 1s, now + 3s)));
    CHECK(limitOf(limits, "run-1") == 2);
    CHECK_FALSE(limitOf(limits, "run-2"));
    CHECK(recordLimit(limits, observation(3, now + 3s, now + 3s)));
    CHECK(recordLimit(limits, observation(std::nullopt, now + 4s, now + 5s)));
    CHECK_FALSE(limitOf(limits, "run-1"));
    CHECK(recordLimit(limits, observation(2, now + 6s, now + 6s)));
    CHECK(recordLimit(limits, observation(std::nullopt, now + 1s, now + 7s, "run-2")));
    CHECK_FALSE(limitOf(limits, "run-1"));
}

// Guards against instances that never learn that a limit has ended, because they may not call the server.
TEST_CASE("limits are reported to peers while they are recent and forgotten without confirmation")
{
    BackendLimits limits;
    recordLimit(limits, observation(2, now, now));
    REQUIRE(reportableLimits(limits, now + 1s).size() == 1);
    CHECK(reportableLimits(limits, now + 1s).front() == LimitReport { "server", "run-1", 2.0, 1s });
    CHECK(reportableLimits(limits, now + 10s).empty());
    auto heard = observation(2, now + 2s, now + 2s);
    heard.isOwn = false;
    recordLimit(limits, heard);
    CHECK(reportableLimits(limits, now + 2s).empty());
    CHECK_FALSE(forgetOldLimits(limits, now + 30s));
    CHECK(forgetOldLimits(limits, now + 70s));
    CHECK(limits.observations.empty());
}

// Guards against calls beyond the rate and against calls that are lost when they are given back.
TEST_CASE("an allowance fills with time up to its capacity")
{
    CallAllowance allowance({ .perSecond = 0.5, .capacity = 2, .initial = 0 }, now);
    CHECK_FALSE(allowance.tryTake(now));
    CHECK(allowance.nextCallAt(now) >= now + 2s);
    CHECK(allowance.hasCall(allowance.nextCallAt(now)));
    CHECK(allowance.tryTake(now + 60s));
    CHECK(allowance.tryTake(now + 60s));
    CHECK_FALSE(allowance.tryTake(now + 60s));
    allowance.putBack(now + 60s);
    CHECK(allowance.tryTake(now + 60s));
    allowance.updateRate({}, now + 61s);
    CHECK(allowance.nextCallAt(now + 61s) == TimePoint::max());
    CHECK_FALSE(allowance.hasCall(now + 600s));
    allowance.updateRate({ .perSecond = 1, .capacity = 1, .initial = 1 }, now + 600s);
    CHECK_FALSE(allowance.hasCall(now + 600s));
}
