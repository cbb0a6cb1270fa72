#include "../EntryHarness.h"
#include "../FakeRecords.h"
#include "../LogSearch.h"

#include "Protocols.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

const BackendServer decode1 { .id = "decode-1", .endpoint = { "127.0.0.1", 1 }, .availabilityZone = "alpine", .pool = "decode", .incarnation = "1" };
const BackendServer decode2 { .id = "decode-2", .endpoint = { "127.0.0.1", 1 }, .availabilityZone = "alpine", .pool = "decode", .incarnation = "1" };

struct PauseFixture {
    PauseFixture() { services.updateBackends({ decode1, decode2 }); }

    auto pause(const BackendServer& server, BackendNotice notice = {}) -> void
    {
        notice.status = 503;
        notice.retryDelay = 10s;
        services.handleNotice(server, monotonicNow(), notice);
    }

    auto sample(std::string_view name) -> std::optional<double>
    {
        std::vector<Metrics::Sample> samples;
        services.addSamples(samples);
        const auto found = std::ranges::find(samples, name, &Metrics::Sample::name);
        return found == samples.end() ? std::nullopt : std::optional(found->value);
    }

    FakeRecords records;
    EntryHarness harness { records };
    ServiceTable& services = harness.services();
    std::shared_ptr<ModelService> model = services.modelService("appraiser-llm");
};

}

// Guards against a pause that a response of another kind causes, such as a 429 for the caller's own rate.
TEST_CASE("only status 503 asks for a pause")
{
    const auto delayOf = [](unsigned status, std::string value) {
        return platform::backendProtocol().readNotice(status, { { "Retry-After", std::move(value) } }).retryDelay;
    };
    CHECK(delayOf(503, "1.5") == 1500ms);
    CHECK(delayOf(503, "0") == 0s);
    CHECK_FALSE(delayOf(503, "soon"));
    CHECK_FALSE(platform::backendProtocol().readNotice(503, {}).retryDelay);
    for (const auto status : { 200U, 202U, 301U, 400U, 409U, 421U, 429U, 500U, 502U, 504U })
        CHECK_FALSE(delayOf(status, "1.5"));
}

// Guards against a pause for the response of another program or server, and for another process under the id.
TEST_CASE("a pause is recorded for the process that has responded")
{
    PauseFixture fixture;
    fixture.pause(decode1, { .origin = ResponseOrigin::Unidentified });
    fixture.pause(decode1, { .responder = "decode-2" });
    CHECK_FALSE(fixture.model->isPaused("decode-1"));
    auto former = decode1;
    former.incarnation = "0";
    fixture.pause(former);
    CHECK_FALSE(fixture.model->isPaused("decode-1"));
    // The response to a control call counts.
    fixture.pause(decode1, { .origin = ResponseOrigin::ControlCall, .responder = "decode-1" });
    CHECK(fixture.model->isPaused("decode-1"));
    CHECK_FALSE(fixture.model->isPaused("decode-2"));
}

// Guards against a pause that is lost when servers, services or roles change, and against one that another process
// inherits.
TEST_CASE("a pause stays with its process when the list of servers or the configuration changes")
{
    PauseFixture fixture;
    fixture.pause(decode1);
    fixture.services.updateBackends({ decode2 });
    fixture.services.updateBackends({ decode1, decode2 });
    CHECK(fixture.model->isPaused("decode-1"));
    auto prefill = decode1;
    prefill.pool = "prefill";
    fixture.services.updateBackends({ prefill, decode2 });
    CHECK(fixture.model->isPaused("decode-1"));
    fixture.services.updateConfiguration(entryConfiguration());
    CHECK(fixture.model->isPaused("decode-1"));
    auto restarted = decode1;
    restarted.incarnation = "2";
    fixture.services.updateBackends({ restarted, decode2 });
    CHECK_FALSE(fixture.model->isPaused("decode-1"));
}

// Guards against orders to change their role, and reads of their state, at engines that have asked for a pause.
TEST_CASE("a paused engine is not chosen to change its role")
{
    PauseFixture fixture;
    fixture.pause(decode1);
    const auto candidates = fixture.model->roleChangeCandidates(PoolRole::Decode);
    REQUIRE(candidates.size() == 1);
    CHECK(candidates.front().id == "decode-2");
}

// Guards against a change of belief that an operator can't find in the logs and metrics.
TEST_CASE("pauses and returns are logged and counted")
{
    PauseFixture fixture;
    CHECK(fixture.sample("jayhold_backend_pauses_total") == 0);
    CHECK_FALSE(fixture.sample("jayhold_backend_pause_seconds"));
    fixture.pause(decode1);
    fixture.pause(decode1);
    CHECK(fixture.sample("jayhold_backend_pauses_total") == 1);
    CHECK(fixture.sample("jayhold_backend_pause_seconds").value_or(0) > 9);
    const auto& log = fixture.harness.context().log;
    CHECK(firstLogged(log, "backend_paused", "backend") == "decode-1");
    CHECK(firstLogged(log, "backend_paused", "asked_ms") == "10000");
    fixture.services.handleReturn(decode1);
    CHECK(firstLogged(log, "backend_returned", "backend") == "decode-1");
}
