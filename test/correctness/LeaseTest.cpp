#include "Lease.h"
#include "OrderFence.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t contenders = 3;

/// @return a number from low to below high; the fixed size avoids the preference of rc::gen::inRange
/// for small numbers.
auto draw(int low, int high) -> int
{
    return *rc::gen::resize(100, rc::gen::inRange(low, high));
}

/// Instances that compete for one lease on an in-memory object with conditional updates.
struct LeaseSimulation {
    LeaseSimulation()
    {
        for (std::size_t index = 0; index < contenders; ++index) {
            leases.push_back({ .settings = { .name = "orders", .holder = "instance-" + std::to_string(index) } });
            calls.emplace_back();
        }
    }

    /// Clocks start at different points and one runs 5% fast.
    auto clock(std::size_t index) const -> TimePoint
    {
        const auto drift = index == 1 ? now / 20 : Duration::zero();
        return TimePoint(now + drift + 1'000s * static_cast<int>(index + 1));
    }

    auto applyWrite(const WriteLease& write) -> bool
    {
        if (write.expectedRevision != revision)
            return false;
        stored = leaseGrantFromJson(toJson(write.grant));
        highestNumber = std::max(highestNumber, stored->fencingNumber);
        ++revision;
        return true;
    }

    auto issue(std::size_t index) -> void
    {
        if (auto call = nextLeaseCall(leases[index], clock(index)))
            calls[index] = std::move(call);
    }

    auto deliver(std::size_t index) -> void
    {
        if (!calls[index])
            return;
        const auto call = *std::exchange(calls[index], std::nullopt);
        const auto* write = std::get_if<WriteLease>(&call);
        if (!write)
            handleLeaseRead(leases[index], clock(index), { revision, 0, stored });
        else if (applyWrite(*write))
            handleLeaseWritten(leases[index], clock(index), revision);
        else
            handleLeaseConflict(leases[index], clock(index), { revision, 0, stored });
    }

    auto failCall(std::size_t index, bool isApplied, bool isLate) -> void
    {
        if (!calls[index])
            return;
        const auto call = *std::exchange(calls[index], std::nullopt);
        if (const auto* write = std::get_if<WriteLease>(&call); write && isApplied)
            applyWrite(*write);
        else if (write && isLate)
            lateWrites.push_back(*write);
        handleLeaseCallFailure(leases[index], clock(index));
    }

    auto holders() const -> std::size_t
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < contenders; ++index)
            count += holdsLease(leases[index], clock(index)) ? 1 : 0;
        return count;
    }

    auto step(std::uint32_t choice) -> void
    {
        const auto detail = choice / 16;
        const auto index = detail % contenders;
        const auto kind = choice % 16;
        if (kind < 4)
            issue(index);
        else if (kind < 8)
            deliver(index);
        else if (kind < 10)
            failCall(index, detail / 4 % 2 == 0, detail / 8 % 2 == 0);
        else if (kind == 10 && !lateWrites.empty())
            applyLate(detail);
        else if (kind == 11 && detail % 8 == 0)
            releaseLease(leases[index], clock(index));
        else if (kind == 12 && detail % 4 == 0)
            leases[index].isWanted = true;
        else if (kind > 12)
            now += std::chrono::milliseconds(detail % 3'000);
    }

    auto applyLate(std::uint32_t detail) -> void
    {
        applyWrite(lateWrites[detail % lateWrites.size()]);
        lateWrites.erase(lateWrites.begin() + static_cast<std::ptrdiff_t>(detail % lateWrites.size()));
    }

    std::vector<Lease> leases;
    std::vector<std::optional<LeaseAction>> calls;
    std::vector<WriteLease> lateWrites;
    std::optional<LeaseGrant> stored;
    std::int64_t revision = 0;
    std::int64_t highestNumber = 0;
    Duration now {};
};

}

// Guards against two holders at the same time, and against a fencing number that two holders use, when
// replies are lost, writes arrive late and holders are suspended at any point.
TEST_CASE("two instances never hold a lease at the same time")
{
    rc::prop("lost replies, late writes, pauses and drifting clocks", [] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(600, rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 26U)));
        LeaseSimulation simulation;
        std::map<std::int64_t, std::size_t> holderOfNumber;
        std::int64_t lastNumber = 0;
        auto heldSteps = 0;
        for (const auto choice : steps) {
            simulation.step(choice);
            RC_ASSERT(simulation.holders() <= 1U);
            for (std::size_t index = 0; index < contenders; ++index) {
                if (!holdsLease(simulation.leases[index], simulation.clock(index)))
                    continue;
                ++heldSteps;
                const auto number = simulation.leases[index].fencingNumber;
                RC_ASSERT(number >= lastNumber);
                RC_ASSERT(holderOfNumber.emplace(number, index).first->second == index);
            }
        }
        RC_CLASSIFY(heldSteps > 0, "held");
        RC_CLASSIFY(holderOfNumber.size() > 1, "changed hands");
    });
}

// Guards against a lease that a live holder loses without a failure, or that no instance acquires
// after its holder has died.
TEST_CASE("a live holder keeps its lease and another instance acquires it after the holder has died")
{
    LeaseSimulation simulation;
    const auto run = [&](std::size_t first, std::size_t last, Duration time) {
        for (const auto end = simulation.now + time; simulation.now < end; simulation.now += 100ms) {
            for (auto index = first; index < last; ++index) {
                simulation.issue(index);
                simulation.deliver(index);
            }
        }
    };
    run(0, 1, 1s);
    REQUIRE(holdsLease(simulation.leases[0], simulation.clock(0)));
    run(0, 3, 60s);
    CHECK(holdsLease(simulation.leases[0], simulation.clock(0)));
    CHECK(simulation.leases[0].fencingNumber == 1);
    run(1, 3, 25s);
    CHECK_FALSE(holdsLease(simulation.leases[0], simulation.clock(0)));
    CHECK(simulation.holders() == 1);
    CHECK(simulation.highestNumber == 2);
}

// Guards against an order of an earlier holder that takes effect after one of the current holder, on
// an engine that ignores fencing numbers.
TEST_CASE("orders of two holders are never in flight at the same time")
{
    rc::prop("random timing of two holders", [] {
        const OrderFenceSettings settings { .maxOrderLatency = 5s };
        TimePoint now { 1'000s };
        TimePoint lastEffect {};
        for (std::int64_t number = 1; number <= 5; ++number) {
            OrderFence fence { .settings = settings };
            handleLeaseAcquired(fence, now, number);
            const auto leaseDeadline = now + 20s;
            while (now < leaseDeadline) {
                now += std::chrono::milliseconds(draw(1, 700));
                const auto next = nextOrderStep(fence, now, leaseDeadline);
                if (next == OrderStep::ReadBack)
                    handleStateReadBack(fence);
                if (next != OrderStep::Send)
                    continue;
                // The holder may be suspended between its check and the sending of the order.
                now += std::chrono::milliseconds(draw(0, 4'900));
                RC_ASSERT(now >= lastEffect);
                lastEffect = now + std::chrono::milliseconds(draw(1, 5'000));
                handleOrderSent(fence, now);
                RC_ASSERT(nextOrderStep(fence, now, leaseDeadline) == OrderStep::Wait);
                if (draw(0, 2) == 0) {
                    now = lastEffect;
                    handleOrderReply(fence);
                } else {
                    handleOrderLost(fence, now + 1ms);
                }
            }
            now = leaseDeadline;
        }
    });
}

// Guards against an order that is sent before the effect of the previous one is known, and against the
// wait if the engine checks fencing numbers itself.
TEST_CASE("the state is read back before the next order, and an engine that checks fencing needs no wait")
{
    const TimePoint now { 1'000s };
    OrderFence fence { .settings = { .checksFencing = true } };
    CHECK(nextOrderStep(fence, now, now + 10s) == OrderStep::Wait);
    handleLeaseAcquired(fence, now, 3);
    CHECK(nextOrderStep(fence, now, now + 10s) == OrderStep::ReadBack);
    handleStateReadBack(fence);
    CHECK(nextOrderStep(fence, now, now + 10s) == OrderStep::Send);
    handleOrderSent(fence, now);
    handleOrderReply(fence);
    CHECK(nextOrderStep(fence, now, now + 10s) == OrderStep::ReadBack);
    CHECK(nextOrderStep(fence, now + 10s, now + 10s) == OrderStep::Wait);
}

// Guards against a stored lease that never expires, or whose numbers overflow when the next grant is made.
TEST_CASE("stored leases with numbers out of range are not grants")
{
    const auto withNumbers = [](std::int64_t fencingNumber, std::int64_t leaseMs) {
        return leaseGrantFromJson(boost::json::object { { "holder", "a" }, { "fencing_number", fencingNumber }, { "attempt", "a#1" }, { "lease_ms", leaseMs }, { "released", false } });
    };
    constexpr auto maximum = std::numeric_limits<std::int64_t>::max();
    CHECK(withNumbers(1, 10'000));
    CHECK_FALSE(withNumbers(maximum, 10'000));
    CHECK_FALSE(withNumbers(-1, 10'000));
    CHECK_FALSE(withNumbers(1, maximum));
    CHECK_FALSE(withNumbers(1, -maximum));
}
