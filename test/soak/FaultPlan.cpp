#include "FaultPlan.h"

#include <algorithm>
#include <map>
#include <random>

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
    { "release engine", milliseconds(500), milliseconds(1'500), &FleetSize::backends },
    { "release engine with the same id", milliseconds(500), milliseconds(1'500), &FleetSize::backends },
    { "silent engine", milliseconds(1'000), milliseconds(1'400), &FleetSize::backends },
    { "full engine", milliseconds(500), milliseconds(1'000), &FleetSize::backends },
    { "reset callers", milliseconds(0), milliseconds(0), nullptr },
};
static_assert(std::size(faultProperties) == static_cast<std::size_t>(FaultKind::Count));

/// Number of the kinds that are drawn from the main random sequence. Later kinds have sequences of their own, so
/// that adding them moves no other fault of a plan.
constexpr auto sharedKinds = static_cast<std::uint64_t>(FaultKind::StoreRestored);
constexpr std::uint64_t maxRestores = 2;
constexpr std::uint64_t maxNotices = 3;
constexpr std::uint64_t maxReleases = 2;
constexpr std::uint64_t maxCallerResets = 12;
constexpr std::uint64_t maxSilences = 4;
constexpr std::uint64_t maxChangesPerSilence = 3;
constexpr Duration maxFullBeforeSilenceEnds = milliseconds(500);
constexpr int linkResource = 2;

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
    if (kind <= FaultKind::BackendLeaves || kind == FaultKind::BackendSaysLeaving || kind == FaultKind::BackendRejects || isRelease(kind))
        return 1;
    if (kind <= FaultKind::SlowLink)
        return linkResource;
    return 3 + static_cast<int>(kind);
}

/// @return whether the faults have the same target and overlap. The link of an engine is replaced with it.
auto isConflict(const PlannedFault& fault, const PlannedFault& other) -> bool
{
    const auto isSameResource = resourceOf(other.kind) == resourceOf(fault.kind) || (isRelease(fault.kind) && resourceOf(other.kind) == linkResource);
    return isSameResource && other.target == fault.target && other.start <= fault.start + fault.length && fault.start <= other.start + other.length;
}

/// Adds a fault to the plan unless it conflicts with another one.
auto addIfFree(std::vector<PlannedFault>& plan, const PlannedFault& fault) -> void
{
    if (std::ranges::none_of(plan, [&](const PlannedFault& other) { return isConflict(fault, other); }))
        plan.push_back(fault);
}

/// Draws the numbers of the faults of one kind, so that they move no other fault of the plan.
class FaultRandom {
public:
    FaultRandom(std::uint64_t seed, FaultKind kind)
    {
        std::seed_seq sequence { seed, static_cast<std::uint64_t>(kind) };
        m_random.seed(sequence);
    }

    /// @return a number from 0 to `most`.
    auto upTo(std::uint64_t most) -> std::uint64_t { return m_random() % (most + 1); }
    auto upTo(Duration most) -> Duration { return Duration(static_cast<Duration::rep>(upTo(static_cast<std::uint64_t>(most.count())))); }

    /// @return a length of a fault of this kind.
    auto lengthOf(FaultKind kind) -> Duration
    {
        const auto& properties = propertiesOf(kind);
        return Duration(properties.minLength) + upTo(Duration(properties.maxLength - properties.minLength));
    }

private:
    std::mt19937_64 m_random;
};

/// Adds the faults that restore the store; a restore ends before the next one begins.
auto planRestores(std::vector<PlannedFault>& plan, std::uint64_t seed, Duration duration) -> void
{
    FaultRandom random(seed, FaultKind::StoreRestored);
    const auto& properties = propertiesOf(FaultKind::StoreRestored);
    const auto count = static_cast<Duration::rep>(random.upTo(maxRestores));
    for (Duration::rep index = 0; index < count; ++index) {
        const auto slot = duration / count;
        const auto start = slot * index + random.upTo(slot / 2 - Duration(1));
        const auto length = Duration(properties.minLength) + random.upTo(Duration(properties.maxLength - properties.minLength) - Duration(1));
        plan.push_back({ FaultKind::StoreRestored, 0, start, std::min(length, slot * (index + 1) - start) });
    }
}

/// Adds faults in which backend servers say in their answers that they are leaving or reject requests.
auto planNotices(std::vector<PlannedFault>& plan, std::uint64_t seed, Duration duration, const FleetSize& size) -> void
{
    FaultRandom random(seed, FaultKind::BackendSaysLeaving);
    const auto count = 1 + random.upTo(maxNotices - 1);
    for (std::uint64_t index = 0; index < count; ++index) {
        PlannedFault fault { .kind = random.upTo(1) == 0 ? FaultKind::BackendSaysLeaving : FaultKind::BackendRejects, .target = random.upTo(size.backends - 1) };
        fault.length = std::min(random.lengthOf(fault.kind), duration);
        fault.start = random.upTo(duration - fault.length);
        addIfFree(plan, fault);
    }
}

/// Adds releases, which replace all engines one after the other, and resets of the callers' connections.
auto planReleases(std::vector<PlannedFault>& plan, std::uint64_t seed, Duration duration, const FleetSize& size) -> void
{
    FaultRandom random(seed, FaultKind::ReleaseEngine);
    const auto releases = static_cast<Duration::rep>(random.upTo(maxReleases));
    for (Duration::rep release = 0; release < releases; ++release) {
        const auto slot = duration / releases;
        const auto engines = size.backends - firstEngine(size);
        const auto interval = random.upTo(slot / static_cast<Duration::rep>(engines));
        const auto first = slot * release + random.upTo(slot - interval * static_cast<Duration::rep>(engines));
        for (std::size_t engine = 0; engine < engines; ++engine) {
            PlannedFault fault { .kind = random.upTo(2) == 0 ? FaultKind::ReleaseEngineWithSameId : FaultKind::ReleaseEngine, .target = firstEngine(size) + engine };
            fault.start = first + interval * static_cast<Duration::rep>(engine);
            fault.length = std::min(random.lengthOf(fault.kind), duration - fault.start);
            addIfFree(plan, fault);
        }
    }
    const auto resets = random.upTo(maxCallerResets);
    for (std::uint64_t reset = 0; reset < resets; ++reset)
        plan.push_back({ .kind = FaultKind::ResetCallers, .start = random.upTo(duration) });
}

/// Adds silences of decode engines while the others have no free slot and the configuration changes.
auto planSilences(std::vector<PlannedFault>& plan, std::uint64_t seed, Duration duration, const FleetSize& size) -> void
{
    FaultRandom random(seed, FaultKind::SilentEngine);
    const auto firstDecode = firstEngine(size) + 1;
    const auto silences = 1 + random.upTo(maxSilences - 1);
    for (std::uint64_t silence = 0; silence < silences; ++silence) {
        const auto silent = firstDecode + random.upTo(size.backends - firstDecode - 1);
        const auto length = std::min(random.lengthOf(FaultKind::SilentEngine), duration);
        const auto start = random.upTo(duration - length);
        addIfFree(plan, { FaultKind::SilentEngine, silent, start, length });
        for (auto engine = firstDecode; engine < size.backends; ++engine) {
            // Shortly before instances look for another engine, so that they may not know yet that it is full.
            const auto fullFrom = start + length - random.upTo(maxFullBeforeSilenceEnds);
            const auto fullLength = random.lengthOf(FaultKind::FullEngine);
            if (engine != silent)
                addIfFree(plan, { FaultKind::FullEngine, engine, fullFrom, std::min(fullLength, duration - fullFrom) });
        }
        for (auto changes = random.upTo(maxChangesPerSilence); changes > 0; --changes)
            plan.push_back({ .kind = FaultKind::NewConfiguration, .start = start + random.upTo(length) });
    }
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

auto hasCrashingRequests(std::uint64_t seed) -> bool
{
    return FaultRandom(seed, FaultKind::Count).upTo(2) == 0;
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
    planRestores(plan, seed, duration);
    planNotices(plan, seed, duration, size);
    planReleases(plan, seed, duration, size);
    planSilences(plan, seed, duration, size);
    std::ranges::stable_sort(plan, {}, &PlannedFault::start);
    return plan;
}

auto planCalmRelease(const FleetSize& size) -> std::vector<PlannedFault>
{
    constexpr milliseconds drainTime(500);
    constexpr milliseconds firstReset(1'600);
    constexpr milliseconds resetInterval(100);
    constexpr int resets = 12;
    // The first decode engine; with few engines, two of the old version remain.
    std::vector<PlannedFault> plan { { .kind = FaultKind::ReleaseEngine, .target = firstEngine(size) + 1, .length = drainTime } };
    for (auto reset = 0; reset < resets; ++reset)
        plan.push_back({ .kind = FaultKind::ResetCallers, .start = firstReset + reset * resetInterval });
    return plan;
}

auto firstEngine(const FleetSize& size) -> std::size_t
{
    return size.backends / 2;
}

auto isRelease(FaultKind kind) -> bool
{
    return kind == FaultKind::ReleaseEngine || kind == FaultKind::ReleaseEngineWithSameId;
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
