#include "../RestorableZone.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Much shorter than in operation, so that watches end often while a sequence runs.
constexpr auto maxPropagationDelay = 100ms;
/// Time after the last step within which all instances have the newest state: a message delay, the delay before the
/// lists are read after a restore, and a retry of a failed read.
constexpr auto settlingTime = 3s;
/// Time after which some instances rely on the watchers of the zone.
constexpr auto electionTime = 2s;
/// Load messages repeat the reports, so that a lost one does not matter for long.
constexpr auto messageInterval = 100ms;
constexpr int passingWrites = 50;
constexpr int maxSteps = 40;
constexpr int maxStepTimeMs = 20;

/// @return a number from the whole range in each sequence, not only in the later ones.
template <typename Number>
auto anyBelow(Number end, Number begin = 0) -> Number
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(begin, end));
}

/// A message that was recorded when an instance sent it, and is delivered later or again.
using Message = std::function<void(StoreDirectory&)>;

struct Sequence {
    auto step() -> void
    {
        switch (anyBelow(10)) {
        case 0:
        case 1:
            zone.store.put("config", "main", ++version);
            break;
        case 2:
            zone.store.put("servers", "any", boost::json::object { { "born", "1" } });
            break;
        case 3:
            zone.store.saveCopy();
            break;
        case 4:
            zone.store.restore();
            break;
        case 5:
            recordMessages();
            break;
        case 6:
            deliverMessage();
            break;
        case 7:
            anyInstance().store.listDelay = std::chrono::milliseconds(anyBelow(100, 1));
            break;
        case 8:
            // The new history may pass the numbers of the old one.
            for (int write = 0; write < passingWrites; ++write)
                zone.store.put("other", "any", 1);
            break;
        default:
            zone.dropsMessages = !zone.dropsMessages;
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(anyBelow(maxStepTimeMs)));
    }

    /// Ends all disturbances and writes the newest configuration, as operators do after a restore.
    auto settle() -> void
    {
        zone.dropsMessages = false;
        for (const auto& instance : zone.instances)
            instance->store.listDelay = 1ms;
        zone.store.put("config", "main", ++version);
    }

    /// @return whether all instances get the newest configuration in time.
    auto hasSettled() -> bool
    {
        const auto deadline = monotonicNow() + settlingTime;
        while (!zone.reachesVersion(version, messageInterval)) {
            if (monotonicNow() >= deadline)
                return false;
            zone.repeatReports();
        }
        return true;
    }

    auto hasReversed() const -> bool
    {
        return std::ranges::any_of(zone.instances, [](const auto& instance) { return instance->isVersionReversed.load(); });
    }

    RestorableZone zone { 5, maxPropagationDelay };
    std::int64_t version = 0;

private:
    auto anyInstance() -> RestorableZone::Instance& { return *zone.instances[anyBelow(zone.instances.size())]; }

    /// Records a report and a datagram about the current state, which it shows as a watcher's next change does.
    auto recordMessages() -> void
    {
        const auto state = zone.store.snapshot("config");
        m_messages.emplace_back([revision = state.revision](StoreDirectory& directory) { directory.handlePeerRevision("config", revision); });
        KindChanges changes { "config", makeRevision(historyOf(state.revision), 0), state.revision, {} };
        for (const auto& item : state.items)
            changes.changes.push_back({ item, false });
        m_messages.emplace_back([changes](StoreDirectory& directory) { directory.handleDirectoryUpdate({ "edge-9", false, changes }); });
    }

    auto deliverMessage() -> void
    {
        if (!m_messages.empty())
            anyInstance().post(m_messages[anyBelow(m_messages.size())]);
    }

    std::vector<Message> m_messages;
};

}

// Guards against any order of writes, restores, late lists and late, repeated or lost messages after which an instance
// goes back to an older configuration or keeps one.
TEST_CASE("after restores in any order all instances get the newest configuration")
{
    // One zone runs all sequences, because the election of watchers takes longer than a sequence.
    Sequence sequence;
    std::this_thread::sleep_for(electionTime);
    CHECK(rc::check("any sequence", [&] {
        const auto steps = anyBelow(maxSteps, 1);
        for (int step = 0; step < steps; ++step)
            sequence.step();
        sequence.settle();
        RC_ASSERT(sequence.hasSettled());
        RC_ASSERT_FALSE(sequence.hasReversed());
    }));
}
