#include "StreamChecks.h"
#include "FakeBackendServer.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::soak;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

auto events(int first, int last, const std::string& version) -> std::vector<StreamEvent>
{
    std::vector<StreamEvent> list;
    for (auto index = first; index <= last; ++index)
        list.push_back({ index, version });
    return list;
}

auto newStream(std::string request, std::vector<StreamEvent> list) -> CallRecord
{
    return { .request = std::move(request), .kind = CallKind::ResumableStream, .sentAt = start, .endedAt = start + 100ms, .status = 200, .events = std::move(list) };
}

auto takeUp(std::string request, std::string stream, int lastEvent, std::vector<StreamEvent> list) -> CallRecord
{
    auto call = newStream(std::move(request), std::move(list));
    call.resumes = std::move(stream);
    call.lastEvent = lastEvent;
    return call;
}

}

// Guards against versions that the checks do not see because the events are read wrongly.
TEST_CASE("the events of a stream are read with their versions")
{
    const auto body = streamEventText(1, "v1") + streamEventText(2, "v2") + "id: 3\nda";
    CHECK(parseStreamEvents(body) == std::vector<StreamEvent> { { 1, "v1" }, { 2, "v2" } });
    CHECK(parseStreamEvents("garbage\n\n") == std::vector<StreamEvent> { {} });
}

// Guards against a soak that passes although a stream goes on at another version, in one answer or over its tries.
TEST_CASE("streams with missing pieces, double pieces or two versions are found")
{
    const auto violations = [](std::vector<CallRecord> calls) { return checkStreamOrder(calls).size(); };
    const auto first = newStream("a", events(1, 2, "v1"));
    CHECK(violations({ first, takeUp("b", "a", 2, {}), takeUp("c", "a", 2, events(3, 4, "v1")), takeUp("d", "a", 4, events(5, 5, "v1")) }) == 0);
    CHECK(violations({ first, newStream("b", events(1, 5, "v2")) }) == 0);
    CHECK(violations({ first, takeUp("b", "a", 2, events(3, 5, "v2")) }) == 1);
    CHECK(violations({ first, takeUp("b", "a", 2, events(4, 5, "v1")) }) == 1);
    CHECK(violations({ first, takeUp("b", "a", 2, events(2, 5, "v1")) }) == 1);
    CHECK(violations({ newStream("a", events(2, 5, "v1")) }) == 1);
    auto mixed = first;
    mixed.events.push_back({ 3, "v2" });
    CHECK(violations({ mixed }) == 1);
}

// Guards against a product that refuses to take up streams in order to pass the check of versions, and against
// failures for streams whose engines or instances are disturbed.
TEST_CASE("streams that are taken up and do not go on are found without false positives")
{
    std::vector<CallRecord> calls;
    for (auto stream = 0; stream < 12; ++stream) {
        const auto name = "s" + std::to_string(stream);
        calls.push_back(newStream(name, events(1, 2, "v1")));
        calls.push_back(takeUp("t" + std::to_string(stream), name, 2, stream < 5 ? events(3, 5, "v1") : events(1, 0, "v1")));
    }
    std::vector<VersionPeriod> versions { { 4, "v1", start - 10s }, { 5, "v1", start - 10s }, { 6, "v2", start - 10s } };
    const auto violations = [&](std::vector<FaultPeriod> faults) { return checkTakeUps(calls, versions, faults, {}).size(); };
    const auto fault = [](FaultKind kind, std::size_t target, Duration end) { return std::vector<FaultPeriod> { { { .kind = kind, .target = target }, start - 8s, start - end } }; };
    CHECK(violations({}) == 1);
    CHECK(violations(fault(FaultKind::KillEntry, 0, 2s)) == 0);
    CHECK(violations(fault(FaultKind::KillEntry, 0, 4s)) == 1);
    CHECK(violations(fault(FaultKind::StoreRestored, 0, 2s)) == 0);
    CHECK(violations(fault(FaultKind::StallLink, 7, 2s)) == 0);
    CHECK(violations(fault(FaultKind::StallLink, 5, 2s)) == 0);
    CHECK(violations(fault(FaultKind::FreezeBackend, 4, 2s)) == 0);
    CHECK(violations(fault(FaultKind::FreezeBackend, 6, 2s)) == 1);
    versions[1].until = start - 1s;
    CHECK(violations({}) == 0);
    versions[1].until = TimePoint::max();
    auto fewer = calls;
    fewer.pop_back();
    std::swap(calls, fewer);
    CHECK(violations({}) == 0);
    std::swap(calls, fewer);
    // Further tries after the same break do not count.
    calls.push_back(takeUp("u", "s11", 2, events(3, 5, "v1")));
    CHECK(violations({}) == 1);
    calls[11].events = events(3, 5, "v1");
    CHECK(violations({}) == 0);
}
