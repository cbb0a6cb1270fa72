#include "../LogSearch.h"
#include "../RouterFixture.h"

#include <future>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr auto updateTime = 300ms;
constexpr auto gap = 100ms;
/// Shorter than the timeout of a reservation.
constexpr auto reservationTime = 250ms;

/// @return the entry of a server with another start time.
auto entryOf(const FakeBackendServer& server, std::int64_t born, const std::string& state = "ready") -> json::object
{
    auto entry = serverEntry(server.endpoint(), "ledger", {}, state);
    entry["born"] = born;
    return entry;
}

/// Sends calls until the server has got one.
auto reach(RouterFixture& fixture, const FakeBackendServer& server) -> void
{
    const auto before = server.requests();
    REQUIRE(fixture.waitUntil([&] { return fixture.call("GET", "/read/x").has_value() && server.requests() > before; }));
}

/// @return how many of some calls reach the server. All have to be answered.
auto callsReaching(RouterFixture& fixture, const FakeBackendServer& server) -> int
{
    const auto before = server.requests();
    for (auto index = 0; index < 8; ++index)
        CHECK(fixture.call("GET", "/read/x")->status == 200);
    return server.requests() - before;
}

/// Makes the server say that it is leaving from its next answer to a decode on.
auto leaveAtDecode(FakeBackendServer& server) -> void
{
    server.onRun([&server](const std::string&, const std::string& stage) {
        if (stage.empty())
            server.setLeaving(true);
    });
}

/// @return the number of control calls once the releases of former requests have ended.
auto settledControlCalls(const FakeBackendServer& server) -> int
{
    std::this_thread::sleep_for(updateTime);
    return server.controlCalls();
}

}

// Guards against calls to a server that has said that it is leaving, in an answer of any kind.
TEST_CASE("a plain server gets no call after an answer in which it says that it is leaving")
{
    const auto behaviour = GENERATE(Behaviour::Answer, Behaviour::Fail, Behaviour::Reject, Behaviour::WrongRequestId);
    RouterFixture fixture;
    fixture.plain1.setLeaving(true);
    fixture.plain1.setBehaviour(behaviour);
    fixture.startAndWait();
    reach(fixture, fixture.plain1);
    CHECK(callsReaching(fixture, fixture.plain1) == 0);
    CHECK(fixture.plain1.requests() == 1);
}

// Guards against a stale or repeated entry that brings a leaving server back, and against a restarted server that gets no
// work because its former process was leaving.
TEST_CASE("a plain server stays leaving whatever the store says of its process, and its next process is served")
{
    RouterFixture fixture;
    fixture.plain1.setLeaving(true);
    fixture.startAndWait();
    fixture.platform.saveCopy();
    reach(fixture, fixture.plain1);
    fixture.registerServer(fixture.plain1, "ledger", {});
    std::this_thread::sleep_for(updateTime);
    CHECK(callsReaching(fixture, fixture.plain1) == 0);
    fixture.registerServer(fixture.plain1, "ledger", {}, "draining");
    fixture.platform.restore();
    std::this_thread::sleep_for(1s);
    CHECK(callsReaching(fixture, fixture.plain1) == 0);
    fixture.plain1.setLeaving(false);
    fixture.platform.put("servers", "plain-1", entryOf(fixture.plain1, 1'700'000'000'001));
    CHECK(fixture.waitUntil([&] { return callsReaching(fixture, fixture.plain1) > 0; }));
}

// Guards against an instance that learns of leaving servers only from the store.
TEST_CASE("a plain server that says that it is leaving gets no call while the store is away")
{
    RouterFixture fixture;
    fixture.startAndWait();
    fixture.platform.setDown(true);
    std::this_thread::sleep_for(updateTime);
    fixture.plain1.setLeaving(true);
    reach(fixture, fixture.plain1);
    CHECK(callsReaching(fixture, fixture.plain1) == 0);
    fixture.platform.setDown(false);
    std::this_thread::sleep_for(1s);
    CHECK(callsReaching(fixture, fixture.plain1) == 0);
}

// Guards against streams for an engine that says in the header of a running stream that it is leaving, and against a stream
// that resumes there.
TEST_CASE("a decode engine gets no stream after the header in which it says that it is leaving")
{
    const auto behaviour = GENERATE(Behaviour::Answer, Behaviour::TruncateStream);
    RouterFixture fixture;
    fixture.decode1.setBehaviour(behaviour);
    fixture.decode1.setTiming(Duration::zero(), gap);
    fixture.decode2.setTiming(Duration::zero(), gap);
    leaveAtDecode(fixture.decode1);
    fixture.startAndWait();
    std::vector<std::future<HttpResult<HttpResponse>>> streams;
    const auto begin = [&] {
        HttpRequest request { "POST", "/resumed/x", { { "Host", "a.example" }, { "Request-Id", "stream-" + std::to_string(streams.size()) }, { "Deadline-Ms", "1500" }, { "Model", "m" }, { "Token-Counts", "100,200" } }, "prompt" };
        streams.push_back(boost::asio::co_spawn(fixture.threads.context(1), fixture.threads.client(1).request(fixture.router->endpoint(), std::move(request), 5s), boost::asio::use_future));
    };
    while (fixture.decode1.requests() == 0 && streams.size() < 4) {
        begin();
        fixture.waitUntil([&] { return fixture.decode1.requests() + fixture.decode2.requests() >= static_cast<int>(streams.size()); });
    }
    // The header of the stream has arrived, and its events follow.
    std::this_thread::sleep_for(gap);
    // More than the other engine would get if they were divided.
    for (auto index = 0; index < 4; ++index)
        begin();
    for (auto& stream : streams) {
        const auto result = stream.get();
        REQUIRE(result.has_value());
        CHECK(result->body == streamText(1, 5));
    }
    CHECK(fixture.decode1.requests() == 1);
}

// Guards against a decode at an engine that has said that it is leaving when it reserved the slot, whether the prompt is
// prefilled elsewhere or there, and against reservations that are of no use.
TEST_CASE("a decode engine gets no request after a control call in whose answer it says that it is leaving")
{
    const auto hasPrefillEngine = GENERATE(true, false);
    RouterFixture fixture;
    fixture.decode1.setLeaving(true);
    if (!hasPrefillEngine)
        fixture.platform.remove("servers", "prefill-1");
    fixture.startAndWait();
    REQUIRE(fixture.waitUntil([&] { return fixture.streamCall("/once/x")->body == streamText(1, 5) && fixture.decode1.controlCalls() > 0; }));
    const auto controlCalls = settledControlCalls(fixture.decode1);
    // The reservation, and its release.
    CHECK(controlCalls <= 2);
    for (auto index = 0; index < 6; ++index)
        CHECK(fixture.streamCall("/once/x")->body == streamText(1, 5));
    CHECK(fixture.decode1.requests() == 0);
    CHECK(settledControlCalls(fixture.decode1) == controlCalls);
}

// Guards against prompts that are sent to a leaving engine.
TEST_CASE("a prefill engine gets no prompt after an answer in which it says that it is leaving")
{
    RouterFixture fixture;
    fixture.prefill.setLeaving(true);
    fixture.startAndWait();
    REQUIRE(fixture.waitUntil([&] { return fixture.streamCall("/once/x")->body == streamText(1, 5) && fixture.prefill.prefills() > 0; }));
    for (auto index = 0; index < 6; ++index)
        CHECK(fixture.streamCall("/once/x")->body == streamText(1, 5));
    CHECK(fixture.prefill.requests() == 1);
}

// Guards against a prompt that is sent to an engine that has begun to leave while the slot for it was reserved.
TEST_CASE("a prompt is not sent to an engine that begins to leave while its slot is reserved")
{
    RouterFixture fixture;
    fixture.decode1.setReservationTime(reservationTime);
    fixture.decode2.setReservationTime(reservationTime);
    fixture.startAndWait();
    auto stream = std::async(std::launch::async, [&] { return fixture.streamCall("/once/x"); });
    REQUIRE(fixture.waitUntil([&] { return fixture.decode1.controlCalls() + fixture.decode2.controlCalls() > 0; }));
    fixture.registerServer(fixture.prefill, "llm", "prefill", "draining");
    const auto response = stream.get();
    REQUIRE(response.has_value());
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.prefill.requests() == 0);
}

// Guards against operators who can't see why a server that the store lists as ready gets no work, and against a server that
// counts as leaving because another one has taken its address.
TEST_CASE("the log says which server is leaving by its own word, and what the store says")
{
    RouterFixture fixture;
    fixture.platform.put("servers", "moved", serverEntry(fixture.plain2.endpoint(), "ledger", {}));
    fixture.plain2.setLeaving(true);
    fixture.startAndWait();
    fixture.router->log().setMinimumLevel(LogLevel::Info);
    const auto valueOf = [&](std::string_view key) { return firstLogged(fixture.router->log(), "backend_said_leaving", key); };
    CHECK(fixture.waitUntil([&] { return fixture.call("GET", "/read/x").has_value() && valueOf("backend"); }));
    CHECK(valueOf("backend") == "plain-2");
    CHECK(valueOf("incarnation") == "1700000000000");
    CHECK(valueOf("listed_state") == "live");
    CHECK(valueOf("answer_to") == "call");
    // The server at the address of the other one is the one that leaves.
    for (auto index = 0; index < 6; ++index)
        CHECK(fixture.call("GET", "/read/x")->status == 200);
    auto lines = 0;
    for (const auto& logged : fixture.router->log().after(0, EventLog::defaultCapacity))
        lines += logged.event == "backend_said_leaving";
    CHECK(lines == 1);
}
