#include "../RawBackend.h"
#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;
namespace asio = boost::asio;

namespace {

const std::string streamHead = "Server-Seal: s\r\nContent-Type: text/event-stream\r\n";

/// @return a response that ends with its connection.
auto unframed(const RawRequest& request, const std::string& body) -> RawReply
{
    return { "HTTP/1.1 200 OK\r\n" + idField(request) + streamHead + "\r\n" + body, true };
}

auto framed(const RawRequest& request, const std::string& body) -> RawReply
{
    return { rawResponse(200, idField(request) + streamHead, body) };
}

/// @return a response whose connection closes after the events, before the end of the body.
auto endless(const RawRequest& request, const std::string& body) -> RawReply
{
    return { rawResponse(200, idField(request) + streamHead, body + "rest").substr(0, rawResponse(200, idField(request) + streamHead, body + "rest").size() - 4), true };
}

auto firstAfter(const RawRequest& request) -> int
{
    return request.lastEvent.empty() ? 1 : std::stoi(request.lastEvent) + 1;
}

/// A router with one prefill and two decode engines, whose first decode answers as the test says, and the later ones in
/// another way.
struct LostEndFixture : RouterFixture {
    LostEndFixture(RawBackend::Script firstDecode, RawBackend::Script laterDecodes)
        : backend(threads, [this, first = std::move(firstDecode), later = std::move(laterDecodes)](const RawRequest& request) {
            if (request.target.starts_with("/-/") || !request.stage.empty())
                return RawReply { validControlResponse(request) };
            return ++decodes == 1 ? first(request) : later(request);
        })
    {
        for (const auto* id : { "prefill-1", "decode-1", "decode-2" })
            platform.remove("servers", id);
        platform.put("servers", "raw-prefill", serverEntry(backend.endpoint(), "llm", "prefill"));
        platform.put("servers", "raw-decode-1", serverEntry(backend.endpoint(), "llm", "decode"));
        platform.put("servers", "raw-decode-2", serverEntry(backend.endpoint(), "llm", "decode"));
        startAndWait();
    }
    ~LostEndFixture() { stop(); }

    std::atomic<int> decodes { 0 };
    RawBackend backend;
};

/// Lets the first engine end its connection after some events, without the end of its answer.
/// @return the body that the caller gets; nothing if it is incomplete.
auto receive(const std::string& events, RawBackend::Script later, std::vector<HttpHeader> headers = {}) -> std::optional<std::string>
{
    LostEndFixture fixture([&](const RawRequest& request) { return endless(request, events); }, std::move(later));
    const auto response = fixture.streamCall("/resumed/x", std::move(headers));
    CHECK(fixture.decodes > 1);
    return response.has_value() ? std::optional(response->body) : std::nullopt;
}

/// An engine that goes on after the last event that the request names, and ends after event 5.
auto soundEngine(const RawRequest& request) -> RawReply
{
    return framed(request, streamText(firstAfter(request), 5));
}

}

// Guards against a stream that is cut although its caller has every event: its engine ended the connection before the end,
// and the next one, which has nothing to add, answers without an event.
TEST_CASE("a stream whose engine ends after the last event is complete if the next engine repeats that event")
{
    CHECK(receive(streamText(1, 5), soundEngine) == streamText(1, 5));
}

// The same for answers that end with their connection.
TEST_CASE("the end of a stream is also confirmed by an answer without a length")
{
    CHECK(receive(streamText(1, 5), [](const RawRequest& request) { return unframed(request, streamText(firstAfter(request), 5)); }) == streamText(1, 5));
}

// Guards against a wrong event that is asked for: before the first one of a stream, or of the part that the caller takes up,
// and where ids are not consecutive.
TEST_CASE("the end of a stream is confirmed at any position")
{
    SECTION("one event")
    {
        CHECK(receive(streamText(1, 1), [](const RawRequest& request) { return framed(request, streamText(firstAfter(request), 1)); }) == streamText(1, 1));
    }
    SECTION("taken up by the caller")
    {
        CHECK(receive(streamText(3, 5), soundEngine, { { "Last-Event-Id", "2" } }) == streamText(3, 5));
    }
    SECTION("taken up by the caller before the last event")
    {
        CHECK(receive(streamText(5, 5), soundEngine, { { "Last-Event-Id", "4" } }) == streamText(5, 5));
    }
    SECTION("ids that are not consecutive")
    {
        const auto event = [](int id) { return streamText(id, id); };
        const auto later = [&](const RawRequest& request) {
            CHECK((request.lastEvent == "30" || request.lastEvent == "20"));
            return framed(request, request.lastEvent == "20" ? event(30) : "");
        };
        CHECK(receive(event(10) + event(20) + event(30), later) == event(10) + event(20) + event(30));
    }
}

// Guards against a stream that ends as if it were complete because engines have sent nothing, or not the end.
TEST_CASE("a stream is not complete if the next engine does not confirm its end")
{
    SECTION("no engine sends an event")
    {
        CHECK_FALSE(receive(streamText(1, 4), [](const RawRequest& request) { return framed(request, ""); }));
    }
    SECTION("the engine repeats the last event and breaks off")
    {
        CHECK_FALSE(receive(streamText(1, 4), [](const RawRequest& request) { return request.lastEvent == "4" ? framed(request, "") : endless(request, streamText(4, 4)); }));
    }
    SECTION("the engine rejects the second request")
    {
        CHECK_FALSE(receive(streamText(1, 4), [](const RawRequest& request) { return request.lastEvent == "4" ? framed(request, "") : RawReply { rejectionOf(request) }; }));
    }
    SECTION("the engine repeats an earlier event only")
    {
        CHECK_FALSE(receive(streamText(1, 4), [](const RawRequest& request) { return framed(request, request.lastEvent == "4" ? "" : streamText(3, 3)); }));
    }
}

// Guards against events that are missing: the engine that had nothing to add has more when it is asked again.
TEST_CASE("a stream goes on if its end is not confirmed but more events follow")
{
    CHECK(receive(streamText(1, 2), [](const RawRequest& request) { return framed(request, request.lastEvent == "2" ? "" : streamText(2, 5)); }) == streamText(1, 5));
}
