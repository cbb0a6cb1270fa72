#include "../RestorableLease.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t contenders = 3;

/// An answer of the store on its way to the instance. An update whose answer comes from another history than
/// the expected one is reported as a failure.
struct LeaseAnswer {
    bool isFailure = false;
    bool isApplied = false;
    StoredLease stored;
};

/// Instances that compete for one lease in a store that is restored from older copies. Requests and answers
/// are on their way for any time, also across restores, and instances are frozen and restarted.
struct RestoreSimulation {
    struct Instance {
        Lease lease;
        std::optional<LeaseAction> request;
        std::optional<LeaseAnswer> answer;
        int restarts = 0;
    };

    explicit RestoreSimulation(std::int64_t firstHistory)
    {
        store.history = firstHistory;
        for (std::size_t index = 0; index < contenders; ++index) {
            instances.emplace_back();
            start(index);
        }
    }

    auto start(std::size_t index) -> void
    {
        auto& instance = instances[index];
        const auto holder = "instance-" + std::to_string(index) + "/" + std::to_string(instance.restarts++);
        instance.lease = { .settings = { .name = "roles", .holder = holder } };
    }

    /// Clocks start at different points and one runs 5% fast.
    auto clock(std::size_t index) const -> TimePoint
    {
        const auto drift = index == 1 ? now / 20 : Duration::zero();
        return TimePoint(now + drift + 1'000s * static_cast<int>(index + 1));
    }

    auto send(std::size_t index) -> void
    {
        if (auto action = nextLeaseCall(instances[index].lease, clock(index)))
            instances[index].request = std::move(action);
    }

    auto answerOf(const LeaseAction& action) -> LeaseAnswer
    {
        const auto* write = std::get_if<WriteLease>(&action);
        if (!write)
            return { .stored = store.read() };
        const auto isApplied = store.write(*write);
        if (isApplied)
            copies.push_back(store.content);
        // An expected revision of 0 names no history, so the answer to a creation is always passed on.
        const auto isOtherHistory = write->expectedRevision != 0 && historyOf(write->expectedRevision) != store.history;
        return { isOtherHistory, isApplied, store.read() };
    }

    auto handleRequest(std::size_t index) -> void
    {
        auto& instance = instances[index];
        if (instance.request)
            instance.answer = answerOf(*std::exchange(instance.request, std::nullopt));
    }

    auto handleAnswer(std::size_t index) -> void
    {
        auto& instance = instances[index];
        if (!instance.answer)
            return;
        const auto answer = *std::exchange(instance.answer, std::nullopt);
        if (answer.isFailure)
            handleLeaseCallFailure(instance.lease, clock(index));
        else if (answer.isApplied)
            handleLeaseWritten(instance.lease, clock(index), answer.stored.revision);
        else
            handleLeaseRead(instance.lease, clock(index), answer.stored);
    }

    /// Loses the answer, or the request, which may still reach the store later.
    auto loseCall(std::size_t index) -> void
    {
        auto& instance = instances[index];
        if (!instance.request && !instance.answer)
            return;
        if (instance.request)
            lateRequests.push_back(*std::exchange(instance.request, std::nullopt));
        instance.answer.reset();
        handleLeaseCallFailure(instance.lease, clock(index));
    }

    auto handleLateRequest(std::uint32_t detail) -> void
    {
        if (lateRequests.empty())
            return;
        const auto late = lateRequests.begin() + static_cast<std::ptrdiff_t>(detail % lateRequests.size());
        answerOf(*late);
        lateRequests.erase(late);
    }

    auto restart(std::size_t index) -> void
    {
        if (instances[index].request)
            lateRequests.push_back(*std::exchange(instances[index].request, std::nullopt));
        instances[index].answer.reset();
        start(index);
    }

    /// Restores one of the last copies, the empty store among them.
    auto restore(std::uint32_t detail) -> void
    {
        constexpr std::size_t reach = 4;
        const auto first = copies.size() - std::min(reach, copies.size());
        copies.resize(first + detail % (copies.size() - first) + 1);
        store.restore(copies.back());
    }

    auto changeWish(std::size_t index) -> void
    {
        auto& lease = instances[index].lease;
        if (lease.isWanted)
            releaseLease(lease, clock(index));
        else
            lease.isWanted = true;
    }

    auto step(std::uint32_t choice) -> void
    {
        const auto detail = choice / 32;
        const auto index = detail % contenders;
        const auto kind = choice % 32;
        if (kind < 8)
            send(index);
        else if (kind < 15)
            handleRequest(index);
        else if (kind < 21)
            handleAnswer(index);
        else if (kind < 23)
            loseCall(index);
        else if (kind == 23)
            handleLateRequest(detail);
        else if (kind == 24 && detail / 4 % 8 == 0)
            restore(detail / 32);
        else if (kind == 25 && detail / 4 % 4 == 0)
            changeWish(index);
        else if (kind == 26 && detail / 4 % 4 == 0)
            restart(index);
        else if (kind == 27)
            ++store.content.counter;
        else if (kind > 27)
            now += std::chrono::milliseconds(detail % 3'000);
    }

    auto holder() const -> std::optional<std::size_t>
    {
        std::optional<std::size_t> found;
        for (std::size_t index = 0; index < contenders; ++index) {
            if (!holdsLease(instances[index].lease, clock(index)))
                continue;
            RC_ASSERT(!found);
            found = index;
        }
        return found;
    }

    RestorableLease store;
    /// Contents of the store after each change; the first is the empty store.
    std::vector<RestorableLease::Content> copies { {} };
    std::vector<Instance> instances;
    std::vector<LeaseAction> lateRequests;
    Duration now {};
};

}

// Guards against two holders at the same time, and against a fencing number that falls or that two holders use,
// when the store loses its latest writes, gives out revisions again and receives updates of an earlier history.
TEST_CASE("a lease has one holder and growing fencing numbers across restores of its store")
{
    rc::prop("restores, cuts, freezes, restarts, late requests and drifting clocks", [] {
        const auto firstHistory = *rc::gen::inRange<std::int64_t>(0, 2);
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(1'500, rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1U << 26U)));
        RestoreSimulation simulation(firstHistory);
        std::string lastHolder;
        std::int64_t lastNumber = 0;
        auto changes = 0;
        for (const auto choice : steps) {
            simulation.step(choice);
            const auto index = simulation.holder();
            if (!index)
                continue;
            const auto& lease = simulation.instances[*index].lease;
            RC_ASSERT(lease.fencingNumber >= lastNumber);
            if (lease.settings.holder != lastHolder) {
                RC_ASSERT(lease.fencingNumber > lastNumber);
                ++changes;
            }
            lastHolder = lease.settings.holder;
            lastNumber = lease.fencingNumber;
        }
        RC_CLASSIFY(changes > 0, "held");
        RC_CLASSIFY(changes > 1, "changed hands");
        RC_CLASSIFY(changes > 1 && historyOf(lastNumber) > firstHistory, "changed hands after a restore");
    });
}
