#include "../EntryHarness.h"
#include "../FakeEngine.h"
#include "../FakeRecords.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

/// An entry instance with one prefill engine and up to two decode engines, each with its own scripts. The
/// second decode engine is unknown to the instance until addSecond().
struct Fixture {
    explicit Fixture(std::deque<DecodeScript> first, std::deque<DecodeScript> second = {})
        : prefill(engineThreads)
        , decode1(engineThreads, std::move(first))
        , decode2(engineThreads, std::move(second))
    {
        harness.addBackend("prefill-1", "prefill", prefill.endpoint());
        harness.addBackend("decode-1", "decode", decode1.endpoint());
    }
    ~Fixture() { engineThreads.stop(); }
    Fixture(const Fixture&) = delete;
    auto operator=(const Fixture&) -> Fixture& = delete;

    auto addSecond() -> void { harness.addBackend("decode-2", "decode", decode2.endpoint()); }

    FakeRecords records;
    IoThreads engineThreads { 1 };
    FakeEngine prefill;
    FakeEngine decode1;
    FakeEngine decode2;
    EntryHarness harness { records };
};

/// @return the concatenated text of all chunks, including `[DONE]` or the error at the end.
auto streamedText(const std::string& body) -> std::string
{
    std::string text;
    std::size_t position = 0;
    while (position < body.size()) {
        const auto end = body.find("\n\n", position);
        const auto data = body.substr(position + 6, end - position - 6);
        position = end + 2;
        if (data == "[DONE]") {
            text += "[DONE]";
            continue;
        }
        const auto value = json::parse(data);
        if (const auto* error = value.as_object().if_contains("error"))
            text += "[" + std::string(error->at("type").as_string()) + " " + std::string(error->at("ran").as_string()) + "]";
        else
            text += value.at("choices").at(0).at("text").as_string();
    }
    return text;
}

}

// Guards against a response that differs from the engine's text, and against a decode call without the KV
// cache of the prefill.
TEST_CASE("a request runs prefill and decode and gets the complete response")
{
    Fixture fixture({ { .chunks = { tokenEvent(0, "rose"), tokenEvent(1, " \\\"hip\\\"") + doneEvent(2) } },
        { .chunks = { tokenEvent(0, "rose") + tokenEvent(1, " hip") + doneEvent(2) } } });
    const auto whole = fixture.harness.complete(false);
    REQUIRE(whole.status == 200);
    const auto answer = json::parse(whole.body);
    CHECK(answer.at("choices").at(0).at("text") == "rose \"hip\"");
    CHECK(answer.at("choices").at(0).at("finish_reason") == "stop");
    CHECK(answer.at("usage").at("prompt_tokens") == 5);
    CHECK(answer.at("usage").at("completion_tokens") == 2);
    const auto streamed = fixture.harness.complete(true);
    CHECK(streamedText(streamed.body) == "rose hip[DONE]");
    const auto call = fixture.decode1.decodes().at(0);
    CHECK(call.at("kv").at("handle") == "kv");
    CHECK(call.at("kv").at("address").as_string() == toString(fixture.prefill.endpoint()));
    CHECK(call.at("max_tokens") == 10);
    CHECK(waitFor([&] { return fixture.harness.services().modelService("appraiser-llm")->summary().reservedSlots == 0; }));
}

// Guards against a token that is duplicated or lost when the stream moves to another engine.
TEST_CASE("a stream resumes at the exact token on another engine")
{
    const auto fault = GENERATE(0, 1, 2, 3);
    std::vector<DecodeScript> faults {
        { .chunks = { tokenEvent(0, "a") + tokenEvent(1, "b") }, .end = ScriptEnd::Abort },
        // The third token is missing.
        { .chunks = { tokenEvent(0, "a") + tokenEvent(1, "b") + tokenEvent(3, "d") }, .end = ScriptEnd::Stall },
        // The engine ends early.
        { .chunks = { tokenEvent(0, "a") + tokenEvent(1, "b") + doneEvent(4) } },
        { .chunks = { tokenEvent(0, "a") + tokenEvent(1, "b") }, .end = ScriptEnd::Stall },
    };
    Fixture fixture({ faults[static_cast<std::size_t>(fault)] }, { { .chunks = { tokenEvent(2, "c") + tokenEvent(3, "d") + doneEvent(4) } } });
    std::thread second([&] {
        waitFor([&] { return !fixture.decode1.decodes().empty(); });
        fixture.addSecond();
    });
    const auto answer = fixture.harness.complete(true);
    second.join();
    INFO("fault " << fault);
    CHECK(streamedText(answer.body) == "abcd[DONE]");
    REQUIRE(fixture.decode2.decodes().size() == 1);
    CHECK(fixture.decode2.decodes()[0].at("resume_from") == 2);
    CHECK(fixture.harness.services().modelService("appraiser-llm")->metrics().resumed == 1);
}

// Guards against duplicate tokens, and tokens after the end, that reach the caller.
TEST_CASE("duplicate and late tokens are dropped")
{
    Fixture fixture({ { .chunks = { tokenEvent(0, "a") + tokenEvent(0, "a"), tokenEvent(1, "b") + tokenEvent(1, "b") + doneEvent(2) + tokenEvent(2, "late") + doneEvent(3) } } });
    CHECK(streamedText(fixture.harness.complete(true).body) == "ab[DONE]");
}

// Guards against a truncated response that looks complete.
TEST_CASE("a stream that cannot be resumed ends with a typed error")
{
    const DecodeScript truncated { .chunks = { tokenEvent(0, "a") }, .end = ScriptEnd::Abort };
    Fixture fixture({ truncated, { .status = 500 }, { .status = 500 }, { .status = 500 }, { .status = 500 } });
    const auto text = streamedText(fixture.harness.complete(true).body);
    CHECK(text.starts_with("a["));
    CHECK(text.ends_with(" unknown]"));
    CHECK(text.find("DONE") == std::string::npos);
}

// Guards against the text of the next engine's error inside a caller's stream, against a cut event that is joined
// with its bytes, and against a stream that ends as if it were complete. The end is the router's own error event.
TEST_CASE("an error answer of the next engine is not part of a completion stream")
{
    const std::string rest = "ex\":1,\"text\":\"joined\"}\n\n";
    const auto answer = GENERATE_COPY(std::string(), std::string("HTTP/1.1 503 Busy\r\n\r\noops"), std::string("oops\n\n"), std::string("id: 1\ndata: oops\n\n"), rest, tokenEvent(5, "later"), doneEvent(7));
    CAPTURE(answer);
    const DecodeScript truncated { .chunks = { tokenEvent(0, "a") + "data: {\"ind" }, .end = ScriptEnd::Abort };
    const DecodeScript faulty { .chunks = { answer } };
    Fixture fixture({ truncated, faulty, faulty, faulty, faulty });
    const auto text = streamedText(fixture.harness.complete(true).body);
    CHECK(text.starts_with("a["));
    CHECK(text.ends_with(" unknown]"));
    CHECK(text.find("DONE") == std::string::npos);
    CHECK(text.find("oops") == std::string::npos);
    CHECK(text.find("later") == std::string::npos);
    CHECK(text.find("joined") == std::string::npos);
}

// Guards against a start that is dropped because the result of the former attempt has not been handled. Both must be
// pending in one pass of the event loop, as after a freeze of the instance.
TEST_CASE("an attempt starts although the result of the former one has not been handled")
{
    Fixture fixture({ { .chunks = { tokenEvent(0, "a") + doneEvent(1) } } });
    FakeEngine other(fixture.engineThreads);
    fixture.prefill.holdPrefills();
    HttpResponse answer;
    std::thread caller([&] { answer = fixture.harness.complete(true); });
    REQUIRE(waitFor([&] { return fixture.prefill.prefills() == 1; }));
    fixture.harness.addBackend("prefill-2", "prefill", other.endpoint());
    // The I/O threads are blocked until both events are there.
    auto& threads = fixture.harness.threads();
    std::atomic<int> blocked { 0 };
    std::atomic<bool> isBlocking { true };
    for (std::size_t thread = 0; thread < threads.size(); ++thread) {
        boost::asio::post(threads.context(thread), [&] {
            ++blocked;
            while (isBlocking)
                std::this_thread::sleep_for(1ms);
        });
    }
    REQUIRE(waitFor([&] { return blocked == static_cast<int>(threads.size()); }));
    fixture.prefill.abortPrefills();
    std::this_thread::sleep_for(50ms);
    fixture.harness.removeBackend("prefill-1");
    const auto resumedAt = std::chrono::steady_clock::now();
    isBlocking = false;
    caller.join();
    CHECK(answer.status == 200);
    CHECK(answer.body.find("[DONE]") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - resumedAt < 2s);
}

// Guards against a stream that is cut because a configuration moves its engine out of the service.
TEST_CASE("a configuration without the pool of an engine does not end the engine's running answers")
{
    Fixture fixture({ { .chunks = { tokenEvent(0, "a") }, .end = ScriptEnd::Stall } });
    auto& threads = fixture.harness.threads();
    HttpRequest request { "POST", "/v1/completions", { { "Authorization", "Bearer members-key" } }, R"({"prompt":"a b","stream":true})" };
    const auto stream = *runOn(threads, 0, threads.client(0).open(fixture.harness.endpoint(), request, 2s));
    REQUIRE(runOn(threads, 0, stream->readSome(2s)).has_value());
    auto configuration = std::make_shared<Configuration>(*entryConfiguration());
    configuration->services.front().pools.back().name = "other-decode";
    fixture.harness.services().updateConfiguration(std::move(configuration));
    CHECK_FALSE(waitFor([&] { return fixture.decode1.closedStreams() > 0; }, 150ms));
    CHECK(fixture.decode1.cancels().empty());
    boost::asio::post(threads.context(0), [stream] { stream->close(); });
    CHECK(waitFor([&] { return fixture.harness.services().modelService("appraiser-llm")->summary().reservedSlots == 0; }));
}

// Guards against a request of a dropped service that is placed on an engine which has left since.
TEST_CASE("a service that a configuration drops still learns which of its engines leave")
{
    Fixture fixture({ { .chunks = { tokenEvent(0, "a") }, .end = ScriptEnd::Stall } });
    auto& threads = fixture.harness.threads();
    HttpRequest request { "POST", "/v1/completions", { { "Authorization", "Bearer members-key" } }, R"({"prompt":"a b","stream":true})" };
    const auto stream = *runOn(threads, 0, threads.client(0).open(fixture.harness.endpoint(), request, 2s));
    REQUIRE(runOn(threads, 0, stream->readSome(2s)).has_value());
    const auto service = fixture.harness.services().modelService("appraiser-llm");
    fixture.addSecond();
    auto configuration = std::make_shared<Configuration>(*entryConfiguration());
    configuration->services.erase(configuration->services.begin());
    fixture.harness.services().updateConfiguration(std::move(configuration));
    fixture.harness.removeBackend("decode-2");
    // The first engine counts as silent after 2 s.
    CHECK_FALSE(waitFor([&] { return !fixture.decode2.decodes().empty(); }, 2'500ms));
    CHECK(fixture.decode1.closedStreams() == 0);
    boost::asio::post(threads.context(0), [stream] { stream->close(); });
    CHECK(waitFor([&] { return service->summary().reservedSlots == 0; }));
}

// Guards against a decode that is sent to a second engine, and a failure that a healthy engine is blamed for, because
// the caller reads slowly.
TEST_CASE("a caller that does not read does not count as the silence of its engine")
{
    constexpr int tokens = 99;
    std::vector<std::string> chunks;
    chunks.reserve(tokens + 1);
    for (int token = 0; token < tokens; ++token)
        chunks.push_back(tokenEvent(token, std::string(60'000, 'x')));
    chunks.push_back(doneEvent(tokens));
    Fixture fixture({ { .chunks = chunks } }, { { .chunks = chunks } });
    fixture.addSecond();
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(8'192));
    const auto endpoint = fixture.harness.endpoint();
    socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    const std::string body = R"({"prompt":"a b c","max_tokens":100,"stream":true})";
    boost::asio::write(socket, boost::asio::buffer("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer members-key\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body));
    std::this_thread::sleep_for(1s);
    std::string received;
    std::vector<char> space(1U << 20U);
    boost::system::error_code code;
    while (!code) {
        const auto size = socket.read_some(boost::asio::buffer(space), code);
        received.append(space.data(), size);
    }
    CHECK(fixture.decode1.decodes().size() + fixture.decode2.decodes().size() == 1);
    CHECK(received.find("[DONE]") != std::string::npos);
}

// Guards against work that continues, and memory that stays allocated, after the caller has disconnected.
TEST_CASE("a caller that disconnects cancels its request on the engines")
{
    Fixture fixture({ { .chunks = { tokenEvent(0, "a") }, .end = ScriptEnd::Stall } });
    HttpRequest request { "POST", "/v1/completions", { { "Authorization", "Bearer members-key" } }, R"({"prompt":"a b","stream":true})" };
    auto& threads = fixture.harness.threads();
    const auto stream = *runOn(threads, 0, threads.client(0).open(fixture.harness.endpoint(), request, 2s));
    const auto chunk = runOn(threads, 0, stream->readSome(2s));
    REQUIRE(chunk.has_value());
    const auto closedAt = std::chrono::steady_clock::now();
    boost::asio::post(threads.context(0), [stream] { stream->close(); });
    CHECK(waitFor([&] { return fixture.decode1.closedStreams() == 1 && fixture.decode1.cancels().size() == 1; }));
    CHECK(std::chrono::steady_clock::now() - closedAt < 150ms);
    CHECK(waitFor([&] { return fixture.harness.services().modelService("appraiser-llm")->summary().reservedSlots == 0; }));
    CHECK(waitFor([&] { return fixture.harness.context().openRequests == 0; }));
}

// Guards against a refusal that does not state that the request was not executed.
TEST_CASE("a request without backend servers is refused as not executed")
{
    FakeRecords records;
    EntryHarness harness(records);
    const auto refused = harness.complete(false);
    CHECK(refused.status == 503);
    const auto error = json::parse(refused.body).at("error");
    CHECK(error.at("ran") == "no");
    CHECK(findHeader(refused.headers, "Retry-After"));
}

// Guards against engine memory that stays allocated for an orphaned attempt, of an ended request of this
// instance or of a lost instance.
TEST_CASE("orphaned attempts are cancelled at the engine")
{
    const auto* owner = GENERATE("entry-1", "lost");
    Fixture fixture({});
    fixture.decode1.hold("entry-1/earlier-run/appraiser-llm/7.1", owner);
    CHECK(waitFor([&] { return !fixture.decode1.cancels().empty(); }, 2s));
    CHECK(fixture.decode1.cancels() == std::vector<std::string> { "entry-1/earlier-run/appraiser-llm/7.1" });
}

// Guards against the cancellation of attempts of a live peer.
TEST_CASE("attempts of a live instance are not cancelled")
{
    Fixture fixture({});
    fixture.decode1.hold("entry-2/run/appraiser-llm/7.1", "entry-2");
    CHECK_FALSE(waitFor([&] { return !fixture.decode1.cancels().empty(); }, 1s));
}
