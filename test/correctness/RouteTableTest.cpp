#include "RouteTable.h"
#include "ForwardChecks.h"
#include "PassThroughReader.h"
#include "TokenSequence.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto route(std::string name, std::string prefix, std::vector<RouteTarget> targets = { { "ledger", 1 } }) -> Route
{
    return { .name = std::move(name), .host = "a.example", .pathPrefix = std::move(prefix), .kind = "kind", .targets = std::move(targets) };
}

auto forwardIndex() -> ConfigurationIndex
{
    auto configuration = std::make_shared<Configuration>();
    Service ledger { .name = "ledger", .type = ServiceType::Plain };
    ledger.kinds = { { .name = "kind", .deadline = 800ms, .repeatable = false, .recorded = false } };
    Service model { .name = "model" };
    model.kinds = { { .name = "kind", .deadline = 14s } };
    configuration->services = { ledger, model };
    configuration->routes = { route("plain", "/plain/"), route("model", "/model/", { { "model", 1 } }), route("missing", "/missing/", { { "none", 1 } }) };
    return ConfigurationIndex(configuration, {});
}

auto callTo(std::string path) -> ForwardedCall
{
    ForwardedCall call { .requestId = "r", .host = "a.example", .path = path };
    call.request = { "POST", std::move(path), {}, "body" };
    return call;
}

}

// Guards against a request that is routed by a shorter prefix or by another host.
TEST_CASE("the longest prefix of the host selects the route")
{
    const std::vector<Route> routes { route("root", "/"), route("a", "/a/"), route("ab", "/a/b/") };
    const RouteTable table(routes);
    CHECK(table.find("a.example", "/a/b/c")->name == "ab");
    CHECK(table.find("a.example", "/a/b")->name == "a");
    CHECK(table.find("a.example", "/a/bc/d")->name == "a");
    CHECK(table.find("a.example", "/x")->name == "root");
    CHECK_FALSE(table.find("b.example", "/a/b/c"));
    CHECK_FALSE(table.find("a.example", ""));
}

// Guards against a split that ignores the weights.
TEST_CASE("requests are split by weight")
{
    const auto split = route("split", "/", { { "old", 90 }, { "new", 10 }, { "none", 0 } });
    auto chosen = 0;
    for (auto request = 0; request < 10'000; ++request) {
        const auto target = chooseTarget(split, "request-" + std::to_string(request));
        REQUIRE(target != "none");
        chosen += target == "new";
    }
    CHECK(chosen > 800);
    CHECK(chosen < 1'200);
    CHECK(chooseTarget(split, "same") == chooseTarget(split, "same"));
}

// Guards against a request that waits longer than its caller or its route allows, and against a client
// error status for a valid request.
TEST_CASE("a forwarded request gets its service, kind and deadline")
{
    const auto index = forwardIndex();
    const TimePoint now { 100s };
    auto longTimeoutCall = callTo("/plain/x");
    longTimeoutCall.callerTimeout = 5s;
    const auto plain = checkForward(index, nativeCallerProtocol(), longTimeoutCall, now);
    REQUIRE(plain.has_value());
    CHECK(std::get<CheckedPlainCall>(*plain).info.deadline == now + 800ms);
    auto shortTimeoutCall = callTo("/plain/x");
    shortTimeoutCall.callerTimeout = 300ms;
    CHECK(std::get<CheckedPlainCall>(*checkForward(index, nativeCallerProtocol(), shortTimeoutCall, now)).info.deadline == now + 300ms);
    auto prompt = callTo("/model/x");
    prompt.promptTokens = 1'460;
    const auto model = checkForward(index, nativeCallerProtocol(), prompt, now);
    REQUIRE(model.has_value());
    CHECK(std::get<CheckedCompletion>(*model).info.digest.tokens == 1'460);
    CHECK(checkForward(index, nativeCallerProtocol(), callTo("/other/x"), now).error().status == 404);
    const auto missing = checkForward(index, nativeCallerProtocol(), callTo("/missing/x"), now);
    CHECK(missing.error().status == 503);
    CHECK(missing.error().outcome == ExecutionOutcome::NotRun);
    CHECK(missing.error().retryAfter > Duration::zero());
}

// Guards against an event that is lost, changed or merged when a chunk of the stream ends within it.
TEST_CASE("events pass unchanged for any chunk sizes")
{
    const std::string body = "id: 1\ndata: a\n\nweight-versions:2\nid:2\ndata: b\n\nid: 3\ndata: c\n\n";
    CHECK(rc::check("pieces of any size", [&] {
        const auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 30)));
        PassThroughReader reader;
        std::string text;
        std::vector<std::uint32_t> ids;
        std::size_t chunkNumber = 0;
        for (std::size_t position = 0; position < body.size();) {
            const auto chunk = body.substr(position, sizes[chunkNumber++ % sizes.size()]);
            position += chunk.size();
            reader.feed(chunk);
            TokenEvent event;
            while (reader.next(event) == EventReader::Status::Event) {
                text += event.text;
                ids.push_back(event.index);
            }
        }
        RC_ASSERT(text == body);
        RC_ASSERT(ids == (std::vector<std::uint32_t> { 1, 2, 3 }));
        TokenEvent end;
        RC_ASSERT(reader.endOfBody(end) == EventReader::Status::Event && end.isDone);
    }));
}

// Guards against a stream that ends within an event but counts as complete.
TEST_CASE("an incomplete event is not the end of the stream")
{
    PassThroughReader reader;
    TokenEvent event;
    reader.feed("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(reader.next(event) == EventReader::Status::Event);
    CHECK(reader.next(event) == EventReader::Status::NeedMore);
    CHECK(reader.endOfBody(event) == EventReader::Status::NeedMore);
}

// Guards against malformed events that are accepted or crash the reader.
TEST_CASE("an event without a numeric id is malformed")
{
    for (const auto* body : { "data: a\n\n", "id: x\n\n", "id: -1\n\n", "\n\n" }) {
        PassThroughReader reader;
        TokenEvent event;
        reader.feed(body);
        CHECK(reader.next(event) == EventReader::Status::Malformed);
    }
    CHECK(rc::check("any bytes", [] {
        PassThroughReader reader;
        TokenEvent event;
        const auto bytes = *rc::gen::arbitrary<std::string>();
        reader.feed(bytes);
        while (reader.next(event) == EventReader::Status::Event) { }
    }));
}

// Guards against an event that the caller receives twice when a stream resumes on another engine.
TEST_CASE("increasing indices pass once")
{
    TokenSequence sequence(IndexRule::Increasing, 5);
    CHECK(sequence.acceptToken(4) == TokenCheckResult::Duplicate);
    CHECK(sequence.acceptToken(5) == TokenCheckResult::Next);
    CHECK(sequence.acceptToken(5) == TokenCheckResult::Duplicate);
    CHECK(sequence.acceptToken(9) == TokenCheckResult::Next);
    CHECK(sequence.count() == 10);
    CHECK(sequence.acceptEnd(0) == TokenCheckResult::Next);
    CHECK(sequence.acceptToken(11) == TokenCheckResult::AfterEnd);
}
