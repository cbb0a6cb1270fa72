#include "../LogSearch.h"
#include "../RawBackend.h"
#include "../RouterFixture.h"

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;
namespace asio = boost::asio;

namespace {

const std::string streamHead = "Server-Seal: s\r\nContent-Type: text/event-stream\r\n";
constexpr int lastEvent = 5;

/// @return the events of an engine of this version.
auto events(const std::string& version, int first, int last) -> std::string
{
    std::string text;
    for (auto event = first; event <= last; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + version + " token " + std::to_string(event) + "\n\n";
    return text;
}

auto streamReply(const RawRequest& request, const std::string& body, bool isComplete) -> RawReply
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    const auto text = "HTTP/1.1 200 OK\r\n" + idField(request) + streamHead + "Transfer-Encoding: chunked\r\n\r\n" + size + body + "\r\n";
    return { isComplete ? text + "0\r\n\r\n" : text, !isComplete };
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

/// Two decode engines of different versions, which know nothing of each other's versions. The first decode is cut off after
/// two events; each later one sends all that the call asks for.
struct TwoVersions : RouterFixture {
    /// What the engine of the first decode does with later ones. An engine that leaves turns them away as well.
    enum class Then {
        Answers,
        Rejects,
        Leaves,
    };

    explicit TwoVersions(Then firstEngineThen)
        : then(firstEngineThen)
        , engine1(threads, [this](const RawRequest& request) { return answer(request, "v1"); })
        , engine2(threads, [this](const RawRequest& request) { return answer(request, "v2"); })
    {
        for (const auto* id : { "prefill-1", "decode-1", "decode-2" })
            platform.remove("servers", id);
        platform.put("servers", "raw-prefill", serverEntry(engine1.endpoint(), "llm", "prefill"));
        put("v1", "ready");
        put("v2", "ready");
        startAndWait();
        router->log().setMinimumLevel(LogLevel::Info);
    }
    ~TwoVersions() { stop(); }

    auto put(const std::string& version, const std::string& state) -> void
    {
        auto entry = serverEntry(version == "v1" ? engine1.endpoint() : engine2.endpoint(), "llm", "decode", state);
        entry["version"] = version;
        platform.put("servers", "raw-decode-" + version, std::move(entry));
    }

    auto answer(const RawRequest& request, const std::string& version) -> RawReply
    {
        if (request.target.starts_with("/-/") || !request.stage.empty())
            return { validControlResponse(request) };
        if (++decodes == 1) {
            beganAt = version;
            if (then == Then::Leaves)
                put(version, "draining");
            return streamReply(request, events(version, 1, 2), false);
        }
        if (version == beganAt && then != Then::Answers)
            return { rejectionOf(request) };
        const auto first = request.lastEvent.empty() ? 1 : std::stoi(request.lastEvent) + 1;
        return streamReply(request, events(version, first, lastEvent), true);
    }

    auto receive() -> Received
    {
        HttpRequest request { "POST", "/resumed/x", { { "Host", "a.example" }, { "Request-Id", "r" }, { "Deadline-Ms", "1500" }, { "Model", "m" }, { "Token-Counts", "100,200" } }, "prompt" };
        return runOn(threads, 0, readAll(threads.client(0), router->endpoint(), std::move(request)));
    }

    const Then then;
    std::atomic<int> decodes { 0 };
    std::string beganAt;
    RawBackend engine1;
    RawBackend engine2;
};

}

// Guards against a caller's stream with events of two software versions after its engine broke off.
TEST_CASE("a stream that is cut off goes on at an engine of its version")
{
    TwoVersions fixture(TwoVersions::Then::Answers);
    const auto received = fixture.receive();
    CHECK(received.body == events(fixture.beganAt, 1, lastEvent));
    CHECK(received.isComplete);
}

// Guards against the same when the only engine of the version turns the rest of the stream away.
TEST_CASE("a stream that is cut off waits for its version and gets no events of another one")
{
    TwoVersions fixture(TwoVersions::Then::Rejects);
    const auto received = fixture.receive();
    CHECK(received.body == events(fixture.beganAt, 1, 2));
    CHECK_FALSE(received.isComplete);
}

// Guards against a caller that waits until its deadline for a version that has left, and against a stream that then looks
// complete.
TEST_CASE("a stream that is cut off ends when the last engine of its version has left")
{
    TwoVersions fixture(TwoVersions::Then::Leaves);
    const auto startedAt = monotonicNow();
    const auto received = fixture.receive();
    CHECK(monotonicNow() - startedAt < 1'200ms);
    CHECK(received.body == events(fixture.beganAt, 1, 2));
    CHECK_FALSE(received.isComplete);
    const auto logged = fixture.router->log().after(0, EventLog::defaultCapacity);
    CHECK(std::ranges::any_of(logged, [](const LoggedEvent& event) { return event.event == "request_refused" && fieldValue(event.fields, "reason") == "version_gone"; }));
    CHECK(std::ranges::any_of(logged, [&](const LoggedEvent& event) { return event.event == "transfer_started" && fieldValue(event.fields, "software_version") == fixture.beganAt && fieldValue(event.fields, "bound") == "false"; }));
}
