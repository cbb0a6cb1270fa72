#include "FaultPlan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <span>

namespace jayhold::soak {

namespace {

using std::chrono::milliseconds;

/// Mean time between the starts of two faults. With their lengths, two to three faults are active
/// at once.
constexpr auto meanFaultInterval = milliseconds(450);

struct FaultProperties {
    std::string_view name;
    milliseconds minLength;
    milliseconds maxLength;
    /// Number of targets; null if there is a single one.
    std::size_t FleetSize::*targetCount;
};

constexpr FaultProperties faultProperties[] = {
    { "freeze entry", milliseconds(200), milliseconds(2'500), &FleetSize::entries },
    { "kill entry", milliseconds(50), milliseconds(1'500), &FleetSize::entries },
    { "replace entry", milliseconds(50), milliseconds(1'000), &FleetSize::entries },
    { "reread settings of entry", milliseconds(0), milliseconds(0), &FleetSize::entries },
    { "kill all entries", milliseconds(50), milliseconds(800), nullptr },
    { "freeze backend", milliseconds(100), milliseconds(2'500), &FleetSize::backends },
    { "kill backend", milliseconds(100), milliseconds(2'000), &FleetSize::backends },
    { "backend leaves", milliseconds(500), milliseconds(3'000), &FleetSize::backends },
    { "cut link", milliseconds(50), milliseconds(1'500), &FleetSize::links },
    { "reset link", milliseconds(0), milliseconds(0), &FleetSize::links },
    { "stall link", milliseconds(100), milliseconds(2'500), &FleetSize::links },
    { "stall answers of link", milliseconds(100), milliseconds(2'500), &FleetSize::links },
    { "slow link", milliseconds(300), milliseconds(2'000), &FleetSize::links },
    { "store down", milliseconds(300), milliseconds(3'000), nullptr },
    { "store garbled", milliseconds(100), milliseconds(1'000), nullptr },
    { "store forgets history", milliseconds(0), milliseconds(0), nullptr },
    { "new configuration", milliseconds(0), milliseconds(0), nullptr },
    { "store restored", milliseconds(200), milliseconds(4'000), nullptr },
    { "backend says it leaves", milliseconds(2'500), milliseconds(4'000), &FleetSize::backends },
    { "backend rejects", milliseconds(500), milliseconds(3'000), &FleetSize::backends },
};
static_assert(std::size(faultProperties) == static_cast<std::size_t>(FaultKind::Count));

/// Number of the kinds that are drawn from the main random sequence. Later kinds have sequences of their own, so
/// that adding them moves no other fault of a plan.
constexpr auto sharedKinds = static_cast<std::uint64_t>(FaultKind::StoreRestored);
constexpr std::uint64_t maxRestores = 2;
constexpr std::uint64_t maxNotices = 3;

auto propertiesOf(FaultKind kind) -> const FaultProperties&
{
    return faultProperties[static_cast<std::size_t>(kind)];
}

/// @return the type of the resource that a fault of this kind uses. Faults with the same resource
/// and target must not overlap.
auto resourceOf(FaultKind kind) -> int
{
    if (kind <= FaultKind::KillAllEntries)
        return 0;
    if (kind <= FaultKind::BackendLeaves || kind == FaultKind::BackendSaysLeaving || kind == FaultKind::BackendRejects)
        return 1;
    if (kind <= FaultKind::SlowLink)
        return 2;
    return 3 + static_cast<int>(kind);
}

/// @return the faults that restore the store; a restore ends before the next one begins.
auto planRestores(std::uint64_t seed, Duration duration) -> std::vector<PlannedFault>
{
    std::seed_seq sequence { seed, static_cast<std::uint64_t>(FaultKind::StoreRestored) };
    std::mt19937_64 random(sequence);
    const auto& properties = propertiesOf(FaultKind::StoreRestored);
    const auto count = static_cast<Duration::rep>(random() % (maxRestores + 1));
    std::vector<PlannedFault> plan;
    for (Duration::rep index = 0; index < count; ++index) {
        const auto slot = duration / count;
        const auto start = slot * index + Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(slot.count() / 2)));
        const auto range = Duration(properties.maxLength - properties.minLength).count();
        const auto length = Duration(properties.minLength) + Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(range)));
        plan.push_back({ FaultKind::StoreRestored, 0, start, std::min(length, slot * (index + 1) - start) });
    }
    return plan;
}

/// @param others faults that these must not overlap, if they have the same target.
/// @return the faults in which backend servers say in their answers that they are leaving or reject requests.
auto planNotices(std::uint64_t seed, Duration duration, const FleetSize& size, std::span<const PlannedFault> others) -> std::vector<PlannedFault>
{
    std::seed_seq sequence { seed, static_cast<std::uint64_t>(FaultKind::BackendSaysLeaving) };
    std::mt19937_64 random(sequence);
    const auto randomBelow = [&](Duration bound) { return Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(bound.count() + 1))); };
    std::vector<PlannedFault> plan;
    const auto isFree = [&](const PlannedFault& fault) {
        const auto overlaps = [&](const PlannedFault& other) { return resourceOf(other.kind) == resourceOf(fault.kind) && other.target == fault.target && other.start <= fault.start + fault.length && fault.start <= other.start + other.length; };
        return std::ranges::none_of(others, overlaps) && std::ranges::none_of(plan, overlaps);
    };
    const auto count = 1 + random() % maxNotices;
    for (std::uint64_t index = 0; index < count; ++index) {
        PlannedFault fault { .kind = random() % 2 == 0 ? FaultKind::BackendSaysLeaving : FaultKind::BackendRejects, .target = random() % size.backends };
        const auto& properties = propertiesOf(fault.kind);
        fault.length = std::min(Duration(properties.minLength) + randomBelow(properties.maxLength - properties.minLength), duration);
        fault.start = randomBelow(duration - fault.length);
        if (isFree(fault))
            plan.push_back(fault);
    }
    return plan;
}

}

auto fleetSize(std::uint64_t seed, std::size_t entries, std::size_t backends) -> FleetSize
{
    constexpr std::size_t largeFleetVariants = 5;
    constexpr std::uint64_t sizeSequence = 1'000;
    FleetSize size { .backends = backends };
    if (entries > 0) {
        size.entries = entries;
    } else {
        // A sequence of its own, so that the size does not depend on the faults.
        std::seed_seq sequence { seed, sizeSequence };
        std::mt19937_64 random(sequence);
        if (random() % 2 == 0)
            size.entries += 1 + random() % largeFleetVariants;
    }
    size.links = size.entries + size.backends;
    return size;
}

auto planFaults(std::uint64_t seed, Duration duration, const FleetSize& size) -> std::vector<PlannedFault>
{
    std::mt19937_64 random(seed);
    const auto randomBelow = [&](std::uint64_t bound) { return bound ? random() % bound : 0; };
    std::map<std::pair<int, std::size_t>, Duration> busyUntil;
    std::vector<PlannedFault> plan;
    for (Duration start {}; start < duration; start += Duration(randomBelow(2 * Duration(meanFaultInterval).count()))) {
        PlannedFault fault { .kind = static_cast<FaultKind>(randomBelow(sharedKinds)), .start = start };
        const auto& properties = propertiesOf(fault.kind);
        fault.target = properties.targetCount ? randomBelow(size.*properties.targetCount) : 0;
        fault.length = Duration(properties.minLength) + Duration(randomBelow(Duration(properties.maxLength - properties.minLength).count() + 1));
        fault.length = std::min(fault.length, duration - start);
        const auto hitsAllEntries = fault.kind == FaultKind::KillAllEntries;
        auto isFree = true;
        for (std::size_t target = hitsAllEntries ? 0 : fault.target; target < (hitsAllEntries ? size.entries : fault.target + 1); ++target)
            isFree = isFree && busyUntil[{ resourceOf(fault.kind), target }] <= start;
        if (!isFree)
            continue;
        for (std::size_t target = hitsAllEntries ? 0 : fault.target; target < (hitsAllEntries ? size.entries : fault.target + 1); ++target)
            busyUntil[{ resourceOf(fault.kind), target }] = start + fault.length;
        plan.push_back(fault);
    }
    std::ranges::move(planRestores(seed, duration), std::back_inserter(plan));
    std::ranges::move(planNotices(seed, duration, size, plan), std::back_inserter(plan));
    std::ranges::stable_sort(plan, {}, &PlannedFault::start);
    return plan;
}

auto name(FaultKind kind) -> std::string_view
{
    return propertiesOf(kind).name;
}

auto describe(const PlannedFault& fault) -> std::string
{
    const auto inMilliseconds = [](Duration time) { return std::to_string(time.count() / 1'000); };
    auto text = inMilliseconds(fault.start) + " ms: " + std::string(name(fault.kind));
    if (propertiesOf(fault.kind).targetCount)
        text += " " + std::to_string(fault.target);
    if (fault.length > Duration::zero())
        text += " for " + inMilliseconds(fault.length) + " ms";
    return text;
}

}
