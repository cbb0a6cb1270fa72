#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A router whose routes expect the first event within 100 ms and each further one within 50 ms, so that servers
/// count as silent after 200 ms.
struct ImpatientRouter : RouterFixture {
    ImpatientRouter()
    {
        auto configuration = configurationOf(4);
        for (auto& route : configuration["routes"].as_array()) {
            route.as_object()["targetLatencyMs"] = 100;
            route.as_object()["targetGapMs"] = 50;
        }
        platform.put("config", "main", std::move(configuration));
    }
};

}

// Guards against a stream that is cut although its engine, which is the only one, only pauses.
TEST_CASE("an engine that pauses completes its stream if no other engine has room")
{
    ImpatientRouter fixture;
    fixture.registerServer(fixture.decode2, "llm", "decode", "draining");
    fixture.decode1.setTiming(Duration::zero(), 250ms);
    fixture.startAndWait();
    const auto response = fixture.streamCall("/resumed/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode1.runs() == 1);
}

// Guards against a prefill that is sent again and again to an engine that needs longer than expected.
TEST_CASE("a prefill that takes long is not sent again if no other engine has room")
{
    ImpatientRouter fixture;
    fixture.platform.remove("servers", "decode-2");
    fixture.prefill.setTiming(500ms, Duration::zero());
    fixture.decode1.setTiming(500ms, Duration::zero());
    fixture.startAndWait();
    const auto response = fixture.streamCall("/once/x");
    REQUIRE(response.has_value());
    CHECK(response->body == streamText(1, 5));
}
