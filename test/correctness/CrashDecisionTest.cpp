#include "../EntryHarness.h"
#include "../FakeRecords.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace jayhold;
using namespace std::chrono_literals;

// Guards against a call that stays allowed, here and at the peers that saw no crash, until it is sent again: a crash that
// becomes known while the decision about an earlier one is pending is too recent for that decision.
TEST_CASE("crashes that become known shortly after one another are decided on without another call")
{
    constexpr std::uint64_t signature = 77;
    const auto interval = GENERATE(0ms, 5ms, 15ms, 25ms, 45ms);
    CAPTURE(interval.count());
    std::atomic<int> blocked { 0 };
    FakeRecords records;
    EntryHarness harness { records };
    harness.context().updateBlockedPart = [&](const std::string&, const UpdateBlockedPart& update) { blocked += update.part == signature && update.change == BlockedPartChange::Add; };
    for (std::uint64_t process = 1; process <= 3; ++process) {
        harness.services().handlePromptReport({ "coop-ledger", "entry-2", process, false, { process, signature, { signature } }, 0ms });
        std::this_thread::sleep_for(interval);
    }
    CHECK(waitFor([&] { return blocked == 1; }, 1s));
}
