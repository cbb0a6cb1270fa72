#include "../EntryHarness.h"
#include "../FakeEngine.h"
#include "../FakeRecords.h"
#include "../LogSearch.h"

#include "CallerChecks.h"
#include "ModelRequest.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const DecodeScript twoTokens { .chunks = { tokenEvent(0, "a") + tokenEvent(1, "b") }, .end = ScriptEnd::Stall };
const DecodeScript complete { .chunks = { tokenEvent(0, "x") + tokenEvent(1, "y") + doneEvent(2) } };

/// An entry instance with one decode engine of each of two versions, whose model requests the test can reach.
struct TwoVersions {
    TwoVersions()
    {
        harness.services().updateBackends({
            { .id = "prefill-1", .endpoint = prefill.endpoint(), .availabilityZone = "alpine", .pool = "prefill" },
            { .id = "decode-1", .endpoint = engine1.endpoint(), .availabilityZone = "alpine", .pool = "decode", .softwareVersion = "v1" },
            { .id = "decode-2", .endpoint = engine2.endpoint(), .availabilityZone = "alpine", .pool = "decode", .softwareVersion = "v2" },
        });
    }
    ~TwoVersions()
    {
        harness.threads().stop();
        engineThreads.stop();
    }
    TwoVersions(const TwoVersions&) = delete;
    auto operator=(const TwoVersions&) -> TwoVersions& = delete;

    auto serve(HttpExchange& exchange) -> asio::awaitable<void>
    {
        const ConfigurationIndex index(entryConfiguration(), {});
        auto checked = checkCompletion(index, CustomerId { 0 }, CompletionApi::Text, exchange.request(), monotonicNow());
        checked->info.boundVersion = boundVersion;
        const auto created = std::make_shared<ModelRequest>(harness.context(), harness.services().modelService(checked->service), exchange, std::move(checked->info));
        {
            const std::lock_guard guard(lock);
            request = created;
        }
        co_await created->run();
    }

    auto service() -> std::shared_ptr<ModelService> { return harness.services().modelService("appraiser-llm"); }
    auto replica(std::string_view id) -> ReplicaId
    {
        for (const auto& status : service()->replicas()) {
            if (status.backend.id == id)
                return status.id;
        }
        return {};
    }
    /// Delivers a decision that the shard made before it knew of the first token.
    auto deliver(const DecisionAction& action) -> void
    {
        std::shared_ptr<ModelRequest> receiver;
        {
            const std::lock_guard guard(lock);
            receiver = request.lock();
        }
        REQUIRE(receiver);
        receiver->deliver(action);
    }
    auto call() -> HttpRequest { return { "POST", "/v1/completions", {}, R"({"prompt":"a b c","max_tokens":10,"stream":true})" }; }
    auto receive() -> HttpResponse { return *runOn(engineThreads, 0, engineThreads.client(0).request(server.endpoint(), call(), 5s)); }

    FakeRecords records;
    IoThreads engineThreads { 1 };
    FakeEngine prefill { engineThreads };
    FakeEngine engine1 { engineThreads, { twoTokens, complete, complete } };
    FakeEngine engine2 { engineThreads, { complete, complete, complete, complete } };
    std::optional<std::string> boundVersion = "v1";
    std::mutex lock;
    std::weak_ptr<ModelRequest> request;
    EntryHarness harness { records };
    HttpServer server { harness.threads(), {}, [this](HttpExchange& exchange) { return serve(exchange); } };
};

}

// Guards against events of another version that reach the caller because the first token arrived while the shard's decision
// for another engine was under way.
TEST_CASE("an attempt at another version than that of the first token is not sent")
{
    TwoVersions fixture;
    // The first attempt is at decode-1 in any case, and binds the request.
    auto taken = GENERATE(true, false);
    if (!taken) {
        fixture.boundVersion.reset();
        fixture.harness.services().updateBackends({
            { .id = "prefill-1", .endpoint = fixture.prefill.endpoint(), .availabilityZone = "alpine", .pool = "prefill" },
            { .id = "decode-1", .endpoint = fixture.engine1.endpoint(), .availabilityZone = "alpine", .pool = "decode", .softwareVersion = "v1" },
        });
    }
    auto stream = runOn(fixture.engineThreads, 0, fixture.engineThreads.client(0).open(fixture.server.endpoint(), fixture.call(), 5s));
    REQUIRE(stream.has_value());
    const auto chunk = runOn(fixture.engineThreads, 0, (*stream)->readSome(5s));
    REQUIRE(chunk.has_value());
    REQUIRE(fixture.engine1.decodes().size() == 1);
    if (!taken) {
        fixture.harness.services().updateBackends({
            { .id = "prefill-1", .endpoint = fixture.prefill.endpoint(), .availabilityZone = "alpine", .pool = "prefill" },
            { .id = "decode-1", .endpoint = fixture.engine1.endpoint(), .availabilityZone = "alpine", .pool = "decode", .softwareVersion = "v1" },
            { .id = "decode-2", .endpoint = fixture.engine2.endpoint(), .availabilityZone = "alpine", .pool = "decode", .softwareVersion = "v2" },
        });
    }
    const auto prefills = fixture.prefill.prefills();
    SECTION("a decode") { fixture.deliver(StartDecode { RequestId { 1 }, 2, {}, fixture.replica("decode-2"), 0 }); }
    SECTION("a prefill") { fixture.deliver(StartPrefill { RequestId { 1 }, 2, fixture.replica("prefill-1"), fixture.replica("decode-2") }); }
    CHECK(waitFor([&] { return test::firstLogged(fixture.harness.context().log, "attempt_not_sent", "bound_version") == "v1"; }));
    CHECK(fixture.service()->metrics().otherVersionAttempts == 1);
    (*stream)->close();
    CHECK(waitFor([&] { return fixture.service()->metrics().cancelled == 1; }));
    CHECK(fixture.prefill.prefills() == prefills);
    CHECK(fixture.engine2.decodes().empty());
}

// Guards against a taken-up stream whose known version is not passed on, and one that is reported as run.
TEST_CASE("a request with a bound version runs only there")
{
    TwoVersions fixture;
    SECTION("an engine of the version is live")
    {
        fixture.boundVersion = "v2";
        for (auto call = 0; call < 3; ++call)
            CHECK(fixture.receive().status == 200);
        CHECK(fixture.engine2.decodes().size() == 3);
    }
    SECTION("none is")
    {
        fixture.boundVersion = "v3";
        const auto response = fixture.receive();
        CHECK(response.status == 503);
        CHECK(response.body.find(R"("type":"version_gone")") != std::string::npos);
        CHECK(response.body.find(R"("ran":"no")") != std::string::npos);
        CHECK(findHeader(response.headers, "Retry-After"));
    }
    CHECK(fixture.engine1.decodes().empty());
}
