#include "PartChecks.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::soak;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
const auto crashing = "7:40,dead:20,1:40";
const auto harmless = "7:40,2:40";

auto call(std::string request, std::string parts, TimePoint at, bool hasBegun) -> CallRecord
{
    CallRecord record { .request = std::move(request), .kind = CallKind::ResumableStream, .sentAt = at, .endedAt = at + 100ms };
    record.promptParts = std::move(parts);
    if (hasBegun)
        record.events = { { 1, "v1" } };
    return record;
}

auto crashesAt(std::size_t count) -> std::vector<BackendRun>
{
    return std::vector<BackendRun>(count, { "c", "decode-4", false, start, "1", 4 });
}

}

// Guards against a soak that passes although requests with a known part go on crashing engines, and against failures for
// requests of instances that cannot know the part.
TEST_CASE("requests with a crashing part after the bound are found without false positives")
{
    std::vector<CallRecord> calls;
    std::vector<BackendRun> runs;
    const auto arrive = [&](TimePoint at) {
        calls.push_back(call("r" + std::to_string(calls.size()), crashing, at, false));
        runs.push_back({ calls.back().request, "prefill-3", true, at, "1", 3 });
        runs.push_back({ calls.back().request, "decode-4", false, at + 10ms, "1", 4 });
    };
    const auto violations = [&](std::size_t crashes, std::vector<FaultPeriod> faults = {}) { return checkCrashingParts(calls, runs, crashesAt(crashes), start + 20s, faults, {}).size(); };
    arrive(start + 2s);
    for (auto request = 0; request < 3; ++request)
        arrive(start + 4s);
    CHECK(violations(5) == 0);
    // A repeat counts as well.
    runs.push_back(runs.back());
    CHECK(violations(5) == 1);
    CHECK(violations(4) == 0);
    const auto fault = [](FaultKind kind, std::size_t target) { return std::vector<FaultPeriod> { { { .kind = kind, .target = target }, start + 1s, start + 2s } }; };
    CHECK(violations(5, fault(FaultKind::KillEntry, 0)) == 0);
    CHECK(violations(5, fault(FaultKind::KillEntry, 1)) == 1);
    CHECK(violations(5, fault(FaultKind::CutLink, FleetSize().backends)) == 0);
    CHECK(violations(5, fault(FaultKind::StoreDown, 0)) == 0);
    calls.back().promptParts = harmless;
    CHECK(violations(5) == 0);
}

// Guards against a soak that passes although the fleet forgets a part that the store lists or could list.
TEST_CASE("crashes before a kill of all instances count if the store could know the part")
{
    std::vector<CallRecord> calls;
    std::vector<BackendRun> runs;
    for (auto request = 0; request < 4; ++request) {
        calls.push_back(call("r" + std::to_string(request), crashing, start + 12s, false));
        runs.push_back({ calls.back().request, "prefill-3", true, start + 12s, "1", 3 });
    }
    const auto violations = [&](std::vector<FaultPeriod> faults) { return checkCrashingParts(calls, runs, crashesAt(5), start + 20s, faults, {}).size(); };
    const auto period = [](FaultKind kind, Duration from, Duration until) { return FaultPeriod { { .kind = kind }, start + from, start + until }; };
    auto kill = period(FaultKind::KillAllEntries, 5s, 6s);
    CHECK(violations({ kill }) == 1);
    CHECK(violations({ kill, period(FaultKind::StoreDown, 1s, 5s) }) == 0);
    CHECK(violations({ kill, period(FaultKind::StoreRestored, -1s, 5s) }) == 0);
    // The store had time before or after the disturbance.
    CHECK(violations({ kill, period(FaultKind::StoreRestored, 4s, 5s) }) == 1);
    CHECK(violations({ kill, period(FaultKind::StoreDown, 1s, 1500ms) }) == 1);
    CHECK(violations({ kill, period(FaultKind::StoreDown, 1s, 2s) }) == 0);
    CHECK(violations({ kill, period(FaultKind::StoreDown, -2s, -1s) }) == 1);
    CHECK(violations({ kill, period(FaultKind::StoreHistoryCompacted, 1s, 1s) }) == 1);
    CHECK(violations({ period(FaultKind::KillEntry, 5s, 6s), period(FaultKind::StoreDown, 1s, 5s) }) == 1);
    kill.isPartListed = true;
    CHECK(violations({ kill, period(FaultKind::StoreDown, 1s, 5s) }) == 1);
}

// Guards against a soak that passes although harmless requests are refused for the parts that they share with others.
TEST_CASE("harmless requests that are not served after crashes are found without false positives")
{
    std::vector<CallRecord> calls;
    for (auto request = 0; request < 20; ++request) {
        calls.push_back(call("a" + std::to_string(request), harmless, start - 10s, true));
        calls.push_back(call("b" + std::to_string(request), harmless, start + 8s, request < 9));
        calls.push_back(call("c" + std::to_string(request), harmless, start + 5s, false));
    }
    const auto violations = [&](std::size_t crashes, Duration crashingTime, std::vector<FaultPeriod> faults = {}) {
        faults.push_back({ { .kind = FaultKind::KillBackend, .target = 4 }, start, start + 6s });
        return checkCrashingParts(calls, {}, crashesAt(crashes), start + crashingTime, faults, {}).size();
    };
    CHECK(violations(1, 20s) == 1);
    CHECK(violations(0, 20s) == 0);
    CHECK(violations(1, 7s) == 0);
    CHECK(violations(1, 20s, { { { .kind = FaultKind::KillEntry, .target = 0 }, start + 5s, start + 6s } }) == 0);
    for (auto& request : calls)
        request.promptParts = "3:40";
    CHECK(violations(1, 20s) == 0);
    for (auto& request : calls)
        request.promptParts = harmless;
    calls[28].events = { { 1, "v1" } };
    CHECK(violations(1, 20s) == 0);
}

// Guards against a soak that passes although a plain call goes on crashing servers after its third crash.
TEST_CASE("plain calls that crash servers after the bound are found without false positives")
{
    std::vector<CallRecord> calls;
    std::vector<BackendRun> runs;
    const auto arrive = [&](TimePoint at) {
        CallRecord record { .request = "r" + std::to_string(calls.size()), .kind = CallKind::IdempotentGet, .sentAt = at, .endedAt = at + 100ms };
        record.promptParts = crashing;
        calls.push_back(record);
        runs.push_back({ record.request, "plain-0", false, at, "1", 0 });
    };
    const auto violations = [&](std::size_t crashes, std::vector<FaultPeriod> faults = {}) {
        return checkCrashingCalls(calls, runs, std::vector<BackendRun>(crashes, { "c", "plain-0", false, start, "1", 0 }), faults, {}).size();
    };
    arrive(start + 2s);
    for (auto request = 0; request < 3; ++request)
        arrive(start + 4s);
    CHECK(violations(3) == 0);
    arrive(start + 5s);
    CHECK(violations(3) == 1);
    CHECK(violations(2) == 0);
    // An instance that does not reach the store can't know the call.
    CHECK(violations(3, { { { .kind = FaultKind::StoreDown }, start + 2s, start + 6s } }) == 0);
    // Crashes of engines don't count.
    CHECK(checkCrashingCalls(calls, runs, crashesAt(5), {}, {}).empty());
    // The calls don't count for the engines.
    CHECK(checkCrashingParts(calls, runs, crashesAt(5), start + 20s, {}, {}).empty());
}
