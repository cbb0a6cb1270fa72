#include "../EntryHarness.h"
#include "../FakeEngine.h"
#include "../FakeRecords.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

/// Keeps the starts of a request without carrying them out.
class StartRecorder : public ActionReceiver {
public:
    auto deliver(const DecisionAction& action) -> void override
    {
        if (const auto* prefill = std::get_if<StartPrefill>(&action))
            prefills.push_back(*prefill);
    }

    std::vector<StartPrefill> prefills;
};

}

// Guards against the cancellation of a new attempt, and the loss of the memory that its engine holds for it, because
// the end of the silent one before it is reported late.
TEST_CASE("the late failure of a replaced attempt does not cancel the new one")
{
    FakeRecords records;
    IoThreads engineThreads { 1 };
    FakeEngine prefill1(engineThreads);
    FakeEngine prefill2(engineThreads);
    FakeEngine decode(engineThreads, {});
    {
        EntryHarness harness(records);
        harness.addBackend("prefill-1", "prefill", prefill1.endpoint());
        harness.addBackend("prefill-2", "prefill", prefill2.endpoint());
        harness.addBackend("decode-1", "decode", decode.endpoint());
        const auto service = harness.services().modelService("appraiser-llm");
        const auto recorder = std::make_shared<StartRecorder>();
        RequestArrived arrived {};
        arrived.promptTokens = 5;
        arrived.maxTokens = 10;
        arrived.deadline = monotonicNow() + 60s;
        arrived.signature = 1;
        const auto id = service->open(std::move(arrived), recorder);
        REQUIRE(recorder->prefills.size() == 1);
        const auto first = recorder->prefills[0];
        service->handleEvent(AttemptSilent { id, first.attempt, 0 });
        REQUIRE(recorder->prefills.size() == 2);
        const auto second = recorder->prefills[1];
        service->handleEvent(PrefillFailed { id, first.attempt, FailureKind::ConnectionLost });
        CHECK(service->isActiveAttempt(second.prefill, service->engineRequestId(id, second.attempt)));
        service->handleEvent(RequestCancelled { id });
        service->close(id);
    }
    engineThreads.stop();
}
