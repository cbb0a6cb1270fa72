#include "../StandinTest.h"

#include "Engine.h"
#include "ExpectedTokens.h"
#include "PromptBlocks.h"

#include <catch2/catch.hpp>

#include <future>

using namespace jayhold;
using namespace jayhold::standin;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// A stand-in engine on its own thread.
struct TestEngine {
    explicit TestEngine(EngineSettings settings)
        : engine(threads, std::move(settings))
    {
    }
    ~TestEngine() { threads.stop(); }
    TestEngine(const TestEngine&) = delete;
    auto operator=(const TestEngine&) -> TestEngine& = delete;

    IoThreads threads { 1 };
    Engine engine;
};

/// @return settings of an engine that is fast enough for tests.
auto fastSettings(std::string role) -> EngineSettings
{
    EngineSettings settings;
    settings.id = role;
    settings.role = std::move(role);
    settings.prefillTokensPerSecond = 1'000'000;
    settings.tokenGapMicroseconds = 1'000;
    settings.kvBytesPerToken = 1'000;
    return settings;
}

auto prefillBody(const std::string& id, const std::string& prompt) -> json::object
{
    return { { "request_id", id }, { "owner", "test" }, { "model", "model" }, { "prompt", prompt } };
}

auto decodeBody(const std::string& id, const std::string& prompt, const json::value& kv) -> json::object
{
    auto body = prefillBody(id, prompt);
    body["max_tokens"] = 1'000;
    body["kv"] = kv;
    return body;
}

auto openDecode(StandinClient& caller, const HttpEndpoint& endpoint, const json::object& body) -> std::shared_ptr<HttpStream>
{
    HttpRequest request { "POST", "/v1/decode", {}, json::serialize(body), false };
    return runOn(caller.threads(), 0, caller.threads().client(0).open(endpoint, std::move(request), 5s)).value();
}

auto readToEnd(HttpStream& stream) -> asio::awaitable<std::string>
{
    std::string text;
    while (true) {
        const auto chunk = co_await stream.readSome(5s);
        if (chunk.has_error() || chunk->empty())
            co_return text;
        text += *chunk;
    }
}

/// @return the token texts of an event stream, joined.
auto textOf(std::string_view events) -> std::string
{
    std::string text;
    while (!events.empty()) {
        const auto end = events.find("\n\n");
        const auto event = json::parse(events.substr(6, end - 6)).as_object();
        if (const auto* token = event.if_contains("text"))
            text += token->get_string();
        events.remove_prefix(end + 2);
    }
    return text;
}

auto kvOf(const TestEngine& engine, const StandinResponse& prefill) -> json::object
{
    return { { "address", toString(engine.engine.endpoint()) }, { "handle", prefill.body.at("handle") } };
}

}

// Guards against an engine whose text differs from the one that callers expect, which would make
// response checks fail, or pass, for the wrong reason.
TEST_CASE("a prefilled and decoded prompt gives the expected tokens and frees all memory")
{
    TestEngine prefill(fastSettings("prefill"));
    TestEngine decode(fastSettings("decode"));
    StandinClient caller;
    const std::string prompt = "weigh the rose output=40";
    const auto result = caller.call(prefill.engine.endpoint(), "POST", "/v1/prefill", prefillBody("r1", prompt));
    REQUIRE(result.status == 200);
    CHECK(result.body.at("prompt_tokens") == 4);
    CHECK(caller.count(prefill.engine.endpoint(), "held_pieces") == 1);
    const auto stream = openDecode(caller, decode.engine.endpoint(), decodeBody("r1", prompt, kvOf(prefill, result)));
    REQUIRE(stream->status() == 200);
    CHECK(caller.count(prefill.engine.endpoint(), "held_pieces") == 0);
    CHECK(caller.count(decode.engine.endpoint(), "seats_in_use") == 1);
    CHECK(textOf(runOn(caller.threads(), 0, readToEnd(*stream))) == expectedText("model", prompt, 1'000));
    CHECK(caller.count(decode.engine.endpoint(), "held_pieces") == 0);
    CHECK(caller.count(decode.engine.endpoint(), "largest_complete_runs") == 1);
    CHECK(caller.count(prefill.engine.endpoint(), "tokens_never_decoded") == 0);
}

// Guards against a resumed stream that repeats or skips a token.
TEST_CASE("a resumed stream continues at the exact token")
{
    TestEngine decode(fastSettings("decode"));
    StandinClient caller;
    auto body = decodeBody("r1", "resume output=10", nullptr);
    body["resume_from"] = 7;
    const auto stream = openDecode(caller, decode.engine.endpoint(), body);
    const auto tokens = expectedTokens("model", "resume output=10", 1'000);
    CHECK(textOf(runOn(caller.threads(), 0, readToEnd(*stream))) == tokens[7] + tokens[8] + tokens[9]);
}

// Guards against wrong memory accounting in the engine, which would make leak tests pass because it
// loses track of memory, or fail because it never frees it.
TEST_CASE("memory stays reserved until a stream is cancelled or its connection closes")
{
    TestEngine decode(fastSettings("decode"));
    StandinClient caller;
    const auto& endpoint = decode.engine.endpoint();
    const auto cancelled = openDecode(caller, endpoint, decodeBody("r1", "a output=900", nullptr));
    const auto closed = openDecode(caller, endpoint, decodeBody("r2", "b output=900", nullptr));
    CHECK(caller.count(endpoint, "held_pieces") == 2);
    CHECK(caller.get(endpoint, "/v1/load").body.at("held").as_array().size() == 2);
    CHECK(caller.call(endpoint, "POST", "/v1/cancel", json::object { { "request_id", "r1" } }).body.at("freed_pieces") == 1);
    CHECK(caller.count(endpoint, "held_pieces") == 1);
    asio::post(caller.threads().context(0), [closed] { closed->close(); });
    CHECK(becomesTrue(2s, [&] { return caller.count(endpoint, "held_pieces") == 0; }));
    CHECK(caller.count(endpoint, "seats_in_use") == 0);
    CHECK(caller.count(endpoint, "cancelled") == 2);
    CHECK(caller.count(endpoint, "largest_complete_runs") == 0);
}

// Guards against a busy engine that runs a call which it reports as not run.
TEST_CASE("an engine without a free slot rejects a call and does not run it")
{
    auto settings = fastSettings("decode");
    settings.slots = 1;
    TestEngine decode(settings);
    StandinClient caller;
    const auto& endpoint = decode.engine.endpoint();
    const auto running = openDecode(caller, endpoint, decodeBody("r1", "a output=900", nullptr));
    const auto refused = caller.call(endpoint, "POST", "/v1/decode", decodeBody("r2", "b", nullptr));
    CHECK(refused.status == 409);
    CHECK(refused.body.at("ran") == false);
    CHECK(caller.count(endpoint, "decodes") == 1);
}

// Guards against a prefill result that outlives its time to live.
TEST_CASE("an unused prefill result expires, frees its memory and counts as never decoded")
{
    auto settings = fastSettings("prefill");
    settings.resultTtlMilliseconds = 50;
    TestEngine prefill(settings);
    TestEngine decode(fastSettings("decode"));
    StandinClient caller;
    const auto& endpoint = prefill.engine.endpoint();
    const auto result = caller.call(endpoint, "POST", "/v1/prefill", prefillBody("r1", "three more words"));
    CHECK(becomesTrue(2s, [&] { return caller.count(endpoint, "held_pieces") == 0; }));
    CHECK(caller.count(endpoint, "tokens_never_decoded") == 3);
    const auto late = caller.call(decode.engine.endpoint(), "POST", "/v1/decode", decodeBody("r1", "three more words", kvOf(prefill, result)));
    CHECK(late.status == 410);
    CHECK(late.body.at("ran") == false);
    CHECK(caller.count(decode.engine.endpoint(), "held_pieces") == 0);
}

// Guards against transfers that take less time than the link's rate allows, alone or together.
TEST_CASE("transfers share the rate of the link, even if their size is capped")
{
    auto settings = fastSettings("prefill");
    settings.linkBytesPerSecond = 100'000;
    settings.kvTransferCapBytes = 1'000;
    TestEngine prefill(settings);
    TestEngine decode(fastSettings("decode"));
    StandinClient caller;
    std::vector<json::object> bodies;
    for (const std::string id : { "r1", "r2" }) {
        const auto prompt = id + " b c d e f g h i output=1";
        const auto result = caller.call(prefill.engine.endpoint(), "POST", "/v1/prefill", prefillBody(id, prompt));
        bodies.push_back(decodeBody(id, prompt, kvOf(prefill, result)));
    }
    const auto start = monotonicNow();
    auto first = std::async(std::launch::async, [&] { return openDecode(caller, decode.engine.endpoint(), bodies[0]); });
    const auto second = openDecode(caller, decode.engine.endpoint(), bodies[1]);
    first.wait();
    const auto elapsed = monotonicNow() - start;
    CHECK(second->status() == 200);
    CHECK(elapsed >= 200ms);
    CHECK(elapsed < 1s);
}

// Guards against a stalled transfer that keeps memory after both sides were cancelled.
TEST_CASE("cancellation frees the memory of a stalled transfer")
{
    TestEngine prefill(fastSettings("prefill"));
    TestEngine decode(fastSettings("decode"));
    StandinClient caller;
    caller.call(prefill.engine.endpoint(), "PUT", "/admin/faults", json::object { { "stall_transfers", true } });
    const auto result = caller.call(prefill.engine.endpoint(), "POST", "/v1/prefill", prefillBody("r1", "stalled"));
    auto stalled = std::async(std::launch::async, [&] {
        StandinClient other;
        return other.call(decode.engine.endpoint(), "POST", "/v1/decode", decodeBody("r1", "stalled", kvOf(prefill, result))).status;
    });
    REQUIRE(becomesTrue(2s, [&] { return caller.count(decode.engine.endpoint(), "held_pieces") == 1; }));
    // The decode engine is cancelled first, since it would report a transfer that the prefill engine
    // closes as failed.
    for (const auto* engine : { &decode, &prefill })
        caller.call(engine->engine.endpoint(), "POST", "/v1/cancel", json::object { { "request_id", "r1" } });
    CHECK(caller.count(prefill.engine.endpoint(), "held_pieces") == 0);
    CHECK(caller.count(decode.engine.endpoint(), "held_pieces") == 0);
    CHECK(stalled.get() == 0);
    CHECK(caller.count(prefill.engine.endpoint(), "tokens_never_decoded") == 1);
}

// Guards against a prefix cache without hits, evictions or gaps, on which cache tests check nothing.
TEST_CASE("prefix blocks are cached, evicted and reported with gaps")
{
    auto settings = fastSettings("prefill");
    settings.cacheBlocks = 2;
    TestEngine prefill(settings);
    StandinClient caller;
    const auto& endpoint = prefill.engine.endpoint();
    std::string prompt;
    for (auto index = 0; index < 2 * prefixBlockTokens; ++index)
        prompt += "w" + std::to_string(index) + " ";
    caller.call(endpoint, "POST", "/v1/prefill", prefillBody("r1", prompt));
    const auto again = caller.call(endpoint, "POST", "/v1/prefill", prefillBody("r2", prompt + "tail"));
    CHECK(again.body.at("cached_tokens") == 2 * prefixBlockTokens);
    caller.call(endpoint, "PUT", "/admin/faults", json::object { { "cache_event_gap", 1 } });
    caller.call(endpoint, "POST", "/v1/prefill", prefillBody("r3", "x " + prompt));
    caller.call(endpoint, "POST", "/v1/prefill", prefillBody("r4", "y " + prompt));
    const auto events = caller.get(endpoint, "/v1/cache_events?after=0").body;
    REQUIRE(events.at("events").as_array().size() == 2);
    CHECK(events.at("last") == 3);
    CHECK(events.at("events").as_array()[0].at("stored").as_array()[0].to_number<std::uint64_t>() == prefixBlockHashes(prompt)[0]);
    CHECK(events.at("events").as_array()[1].at("evicted").as_array().size() == 2);
}

// Guards against an engine that accepts an order from a former lease holder.
TEST_CASE("a stale fencing number is rejected only by engines that check it")
{
    for (const auto checks : { true, false }) {
        auto settings = fastSettings("decode");
        settings.checksFencing = checks;
        TestEngine engine(settings);
        StandinClient caller;
        const auto order = [&](int number) { return caller.call(engine.engine.endpoint(), "POST", "/v1/orders", json::object { { "order", "load" }, { "fencing_number", number } }).status; };
        CHECK(order(5) == 200);
        CHECK(order(4) == (checks ? 412U : 200U));
        CHECK(order(5) == 200);
    }
}
