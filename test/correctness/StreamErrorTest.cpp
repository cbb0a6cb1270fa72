#include "../LogSearch.h"
#include "../RawBackend.h"
#include "../RouterFixture.h"

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;
namespace asio = boost::asio;

namespace {

const std::string notExecuted = "Not-Executed: 1\r\n";
const std::string streamHead = "Server-Seal: s\r\nContent-Type: text/event-stream\r\n";

/// @return the start of a chunked response, without its last chunk.
auto chunkedStart(const RawRequest& request, const std::string& fields, const std::string& body) -> std::string
{
    auto text = "HTTP/1.1 200 OK\r\n" + idField(request) + fields + "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty()) {
        char size[32];
        std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
        text += size + body + "\r\n";
    }
    return text;
}

auto chunked(const RawRequest& request, const std::string& fields, const std::string& body) -> std::string
{
    return chunkedStart(request, fields, body) + "0\r\n\r\n";
}

struct Received {
    std::string body;
    bool isComplete = false;
};

auto readAll(HttpClient& client, HttpEndpoint endpoint, HttpRequest request) -> asio::awaitable<Received>
{
    Received received;
    const auto stream = co_await client.open(std::move(endpoint), std::move(request), 5s);
    if (stream.has_error())
        co_return received;
    while (true) {
        const auto chunk = co_await (*stream)->readSome(5s);
        if (chunk.has_error())
            co_return received;
        received.isComplete = chunk->empty();
        if (chunk->empty())
            co_return received;
        received.body += *chunk;
    }
}

/// A router with one prefill and two decode engines. The first decode is cut off in its third event, and a test
/// gives the answers to the later ones.
struct ResumeFixture : RouterFixture {
    explicit ResumeFixture(RawBackend::Script later)
        : backend(threads, [this, answer = std::move(later)](const RawRequest& request) {
            if (request.target.starts_with("/-/") || !request.stage.empty())
                return RawReply { validControlResponse(request) };
            if (++decodes == 1)
                return RawReply { chunkedStart(request, streamHead, streamText(1, 2) + "id: 3\nda"), true };
            return answer(request);
        })
    {
        for (const auto* id : { "prefill-1", "decode-1", "decode-2" })
            platform.remove("servers", id);
        platform.put("servers", "raw-prefill", serverEntry(backend.endpoint(), "llm", "prefill"));
        platform.put("servers", "raw-decode-1", serverEntry(backend.endpoint(), "llm", "decode"));
        platform.put("servers", "raw-decode-2", serverEntry(backend.endpoint(), "llm", "decode"));
        startAndWait();
    }

    auto receive() -> Received
    {
        HttpRequest request { "POST", "/resumed/x", { { "Host", "a.example" }, { "Request-Id", "r" }, { "Deadline-Ms", "1500" }, { "Model", "m" }, { "Token-Counts", "100,200" } }, "prompt" };
        return runOn(threads, 0, readAll(threads.client(0), router->endpoint(), std::move(request)));
    }

    std::atomic<int> decodes { 0 };
    RawBackend backend;
};

/// @return the number of failed decodes in the log that state the backend server and what was wrong.
auto failedDecodes(const EventLog& log) -> std::ptrdiff_t
{
    const auto states = [](const LoggedEvent& event, std::string_view key) { return !fieldValue(event.fields, key).value_or("").empty(); };
    const auto events = log.after(0, EventLog::defaultCapacity);
    return std::ranges::count_if(events, [&](const LoggedEvent& event) { return event.event == "decode_failed" && states(event, "backend") && states(event, "detail"); });
}

auto checkBroken(const RawBackend::Script& later) -> void
{
    ResumeFixture fixture(later);
    fixture.router->log().setMinimumLevel(LogLevel::Info);
    const auto received = fixture.receive();
    CHECK(fixture.decodes > 1);
    CHECK(failedDecodes(fixture.router->log()) > 1);
    CHECK(received.body == streamText(1, 2));
    CHECK_FALSE(received.isComplete);
}

}

// Guards against the text of an error inside a caller's stream, and against a stream that ends as if it were complete.
TEST_CASE("an error answer of the next engine is not part of the stream")
{
    const auto [status, field] = GENERATE(table<int, std::string>({ { 204, "" }, { 302, "" }, { 400, notExecuted }, { 429, notExecuted }, { 500, "" }, { 503, "" }, { 503, notExecuted } }));
    const auto body = GENERATE(std::string(""), std::string("id: 3\ndata: error\n\n"), std::string("error\n\nid: 3\n\n"));
    CAPTURE(status, body, field);
    checkBroken([status = status, field = field, body](const RawRequest& request) { return RawReply { rawResponse(status, idField(request) + streamHead + field, status == 204 ? "" : body) }; });
}

// Guards against a body that is not the engine's in a caller's stream.
TEST_CASE("a successful answer without a signature is not part of the stream")
{
    checkBroken([](const RawRequest& request) { return RawReply { chunked(request, "Content-Type: text/event-stream\r\n", streamText(3, 5)) }; });
}

// Guards against the text of an error with status 200 inside a caller's stream.
TEST_CASE("an answer that is not an event stream is not part of the stream")
{
    const auto type = GENERATE(std::string(""), std::string("Content-Type: text/plain\r\n"), std::string("Content-Type: application/json\r\n"));
    checkBroken([=](const RawRequest& request) { return RawReply { chunked(request, "Server-Seal: s\r\n" + type, "id: 3\nerror\n\n") }; });
}

// Guards against a stream that ends as if it were complete because the next engine has sent nothing.
TEST_CASE("an empty answer does not complete a stream that has broken off")
{
    const bool isChunked = GENERATE(true, false);
    checkBroken([=](const RawRequest& request) { return RawReply { isChunked ? chunked(request, streamHead, "") : rawResponse(200, idField(request) + streamHead) }; });
}

// Guards against a stream in which events are missing.
TEST_CASE("a stream that continues at a later event is not part of the stream")
{
    checkBroken([](const RawRequest& request) { return RawReply { chunked(request, streamHead, streamText(7, 9)) }; });
}

// Guards against a valid response that is rejected because it has no length and ends with its connection, as the
// protocol allows.
TEST_CASE("an answer without a length completes a stream at the end of its connection")
{
    ResumeFixture fixture([](const RawRequest& request) { return RawReply { "HTTP/1.1 200 OK\r\n" + idField(request) + streamHead + "\r\n" + streamText(3, 5), true }; });
    const auto received = fixture.receive();
    CHECK(received.body == streamText(1, 5));
    CHECK(received.isComplete);
}

// Guards against a stream that ends inside an event and looks complete.
TEST_CASE("an answer without a length that ends inside an event does not complete a stream")
{
    ResumeFixture fixture([](const RawRequest& request) { return RawReply { "HTTP/1.1 200 OK\r\n" + idField(request) + streamHead + "\r\n" + streamText(3, 4) + "id: 5\nda", true }; });
    const auto received = fixture.receive();
    CHECK(received.body == streamText(1, 4));
    CHECK_FALSE(received.isComplete);
}

// Guards against the head of a response inside a caller's stream.
TEST_CASE("a chunk that contains the head of a response is not part of the stream")
{
    const auto head = GENERATE(std::string("HTTP/1.1 503 Busy\r\nid: 3\r\n\r\n"), std::string("HTTP/1.1 503 Busy\nid: 3\n\n"), std::string("HTTP/1.1 503 Busy\r\n\r\nid: 3\ndata: x\n\n"));
    checkBroken([=](const RawRequest& request) { return RawReply { chunked(request, streamHead, head) }; });
}

// Guards against the rest of an event that the first engine began, joined with bytes of the next one.
TEST_CASE("a cut event is not joined with the bytes of the next engine")
{
    checkBroken([](const RawRequest& request) { return RawReply { chunked(request, streamHead, "ta: token 3\n\n" + streamText(4, 5)) }; });
}

// Guards against parts of a head inside a caller's stream.
TEST_CASE("an answer that breaks off in its head is not part of the stream")
{
    const auto head = GENERATE(std::string("HTTP/1.1 200 O"), std::string("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nid: 3\n\n"), std::string("HTTP/1.1 102 Processing\r\n\r\n"), std::string("id: 3\ndata: x\n\n"));
    checkBroken([=](const RawRequest&) { return RawReply { head, true }; });
}

// Guards against a stream that breaks although the next engine continues it correctly, also after an interim response.
TEST_CASE("a stream that the next engine continues is complete")
{
    const auto interim = GENERATE(std::string(""), std::string("HTTP/1.1 102 Processing\r\n\r\n"), std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"));
    CAPTURE(interim);
    ResumeFixture fixture([=](const RawRequest& request) { return RawReply { interim + chunked(request, streamHead, streamText(std::stoi(request.lastEvent) + 1, 5)) }; });
    const auto received = fixture.receive();
    CHECK(received.body == streamText(1, 5));
    CHECK(received.isComplete);
}
