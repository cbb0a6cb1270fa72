#include "../EntryHarness.h"
#include "../FakeEngine.h"
#include "../FakeRecords.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

/// An entry instance with one prefill and two decode engines; the scripts are shared out to the
/// first decode engine, the second continues.
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

/// @return the texts of all chunks joined, with the marks of the end.
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

// Guards against an answer that differs from the engine's text, and a call that does not name the
// KV cache of the prefill.
TEST_CASE("a request goes from prefill to decode and is answered whole")
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
    CHECK(waitFor([&] { return fixture.harness.services().model("appraiser-llm")->summary().reservedSlots == 0; }));
}

// Guards against a token sent twice or lost when the stream moves to another engine.
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
    CHECK(fixture.harness.services().model("appraiser-llm")->metrics().resumed == 1);
}

// Guards against a doubled token or one after the end that reaches the caller.
TEST_CASE("doubled and late tokens are dropped")
{
    Fixture fixture({ { .chunks = { tokenEvent(0, "a") + tokenEvent(0, "a"), tokenEvent(1, "b") + tokenEvent(1, "b") + doneEvent(2) + tokenEvent(2, "late") + doneEvent(3) } } });
    CHECK(streamedText(fixture.harness.complete(true).body) == "ab[DONE]");
}

// Guards against a cut answer that looks complete.
TEST_CASE("a stream that can't be resumed ends with a typed error")
{
    const DecodeScript truncated { .chunks = { tokenEvent(0, "a") }, .end = ScriptEnd::Abort };
    Fixture fixture({ truncated, { .status = 500 }, { .status = 500 }, { .status = 500 }, { .status = 500 } });
    const auto text = streamedText(fixture.harness.complete(true).body);
    CHECK(text.starts_with("a["));
    CHECK(text.ends_with(" unknown]"));
    CHECK(text.find("DONE") == std::string::npos);
}

// Guards against work that goes on, and memory that stays allocated, for a caller that is gone.
TEST_CASE("a caller that closes cancels its request on the engines")
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
    CHECK(waitFor([&] { return fixture.harness.services().model("appraiser-llm")->summary().reservedSlots == 0; }));
    CHECK(waitFor([&] { return fixture.harness.context().openRequests == 0; }));
}

// Guards against a refusal that does not say that nothing ran.
TEST_CASE("a request without backend servers is refused as not run")
{
    FakeRecords records;
    EntryHarness harness(records);
    const auto refused = harness.complete(false);
    CHECK(refused.status == 503);
    const auto error = json::parse(refused.body).at("error");
    CHECK(error.at("ran") == "no");
    CHECK(findHeader(refused.headers, "Retry-After"));
}

// Guards against memory that an engine keeps for nobody: a request of this instance that is gone,
// or one of an instance that is lost.
TEST_CASE("memory that nobody waits for is cancelled at the engine")
{
    const auto* owner = GENERATE("entry-1", "lost");
    Fixture fixture({});
    fixture.decode1.hold("entry-1/earlier-run/appraiser-llm/7.1", owner);
    CHECK(waitFor([&] { return !fixture.decode1.cancels().empty(); }, 2s));
    CHECK(fixture.decode1.cancels() == std::vector<std::string> { "entry-1/earlier-run/appraiser-llm/7.1" });
}

// Guards against the memory of a live peer being taken away.
TEST_CASE("memory of a live instance is left alone")
{
    Fixture fixture({});
    fixture.decode1.hold("entry-2/run/appraiser-llm/7.1", "entry-2");
    CHECK_FALSE(waitFor([&] { return !fixture.decode1.cancels().empty(); }, 1s));
}
