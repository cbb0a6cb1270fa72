#include "../RouterFixture.h"

#include <future>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A router with one decode engine, which takes a second for its answers.
struct SlowRouter : RouterFixture {
    SlowRouter()
    {
        platform.remove("servers", "decode-2");
        decode1.setTiming(Duration::zero(), 250ms);
        startAndWait();
    }

    /// Starts an answer that can't be resumed, and waits until its engine runs it.
    auto beginStream() -> std::future<HttpResult<HttpResponse>>
    {
        auto response = std::async(std::launch::async, [this] { return streamCall("/once/x"); });
        REQUIRE(waitUntil([&] { return decode1.runs() == 1; }));
        return response;
    }
};

}

// Guards against an answer that is cut although its engine completes running work before it changes its role.
TEST_CASE("an engine that changes its role completes its running answer")
{
    SlowRouter fixture;
    auto running = fixture.beginStream();
    fixture.registerServer(fixture.decode1, "llm", "prefill");
    const auto response = running.get();
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode1.runs() == 1);
}

// Guards against an answer that is cut because the entry of its engine is late: the engine has started again under its id
// and already runs the request when this instance learns of the new process.
TEST_CASE("an answer goes on when the entry of its engine shows a later start")
{
    SlowRouter fixture;
    auto running = fixture.beginStream();
    auto entry = serverEntry(fixture.decode1.endpoint(), "llm", "decode", "ready");
    entry["born"] = 1'700'000'005'000;
    fixture.platform.put("servers", fixture.decode1.id(), entry);
    const auto response = running.get();
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode1.runs() == 1);
    CHECK(fixture.streamCall("/once/y").value().status == 200);
}
