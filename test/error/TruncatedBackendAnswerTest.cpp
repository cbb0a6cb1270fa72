#include "../RawBackend.h"
#include "../RouterFixture.h"

#include "Protocols.h"

#include <limits>
#include <map>
#include <mutex>

using namespace jayhold;
using namespace jayhold::test;

namespace {

const std::string seal = "Server-Seal: s\r\n";
const std::string interimHead = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

/// @return the response as a whole, after an interim one.
auto wholeResponse(const RawRequest& request) -> std::string
{
    if (request.target == "/-/report")
        return interimHead + rawResponse(200, "", R"({"sequence":7,"busy":false})");
    if (request.target == "/-/hold-take" || request.stage == "prefill")
        return interimHead + validControlResponse(request);
    return interimHead + rawResponse(200, idField(request) + seal + "Content-Type: text/event-stream\r\n", streamText(1, 2));
}

/// A backend server that cuts each response, and calls to it without a router.
struct ProtocolFixture {
    ~ProtocolFixture() { threads.stop(); }

    auto engineCall() -> EngineCall
    {
        EngineCall call;
        ForwardedCall forwarded;
        forwarded.requestId = "request-" + std::to_string(++requests);
        forwarded.request = { "POST", "/x", { { "Request-Id", forwarded.requestId } }, "prompt" };
        call.forwarded = std::make_shared<const ForwardedCall>(std::move(forwarded));
        return call;
    }

    auto server() const -> BackendServer { return { .id = "raw", .endpoint = backend.endpoint() }; }

    /// @return whether each operation succeeds.
    auto run() -> std::map<std::string, bool>
    {
        const auto& protocol = platform::backendProtocol();
        auto& client = threads.client(1);
        std::map<std::string, bool> results;
        results["prefill"] = runOn(threads, 1, protocol.prefill(client, server(), engineCall(), 2s)).has_value();
        results["decode"] = runOn(threads, 1, protocol.decode(client, server(), engineCall(), 2s)).has_value();
        results["reservation"] = runOn(threads, 1, protocol.reserveSlot(client, server(), 100, 1s, 2s, ignoreNotices())).has_value();
        results["report"] = runOn(threads, 1, protocol.orderState(client, server(), 2s, ignoreNotices())).has_value();
        return results;
    }

    /// Number of bytes that are missing from the head of the final response; 0 if the response is whole.
    std::atomic<std::size_t> missing { 0 };
    std::atomic<bool> resets { false };
    int requests = 0;
    IoThreads threads { 2 };
    RawBackend backend { threads, [this](const RawRequest& request) {
                            const auto response = wholeResponse(request);
                            const auto head = response.find("\r\n\r\n", interimHead.size()) + 4;
                            return RawReply { missing > 0 ? response.substr(0, head - std::min<std::size_t>(missing, head)) : response, missing > 0, {}, resets };
                        } };
};

/// @param cut text at which the head of the response ends.
/// @return the head of a 200 until there.
auto cutHead(const RawRequest& request, const std::string& cut) -> std::string
{
    const auto response = interimHead + rawResponse(200, idField(request) + seal + "Content-Type: text/event-stream\r\n", streamText(1, 12));
    return response.substr(0, response.find(cut) + cut.size());
}

/// The places at which a head is cut: in the interim head, after the status line, in a name, in a value, in and after
/// the length, after a bare CR, and after a complete line without the empty line.
auto cuts() -> std::vector<std::string>
{
    return { "Early", "Link: x\r\n\r", "200 Status\r\n", "Server-Se", "Server-Seal: ", "Content-Le", "Content-Length: ", "Content-Length: 2", "Content-Length: 258\r", "Content-Length: 258\r\n" };
}

/// A router with two plain servers and two engines of each role, which cut the first answers of calls of one sort.
struct CutFixture : RouterFixture {
    CutFixture()
    {
        for (const auto* id : { "plain-1", "plain-2", "prefill-1", "decode-1", "decode-2" })
            platform.remove("servers", id);
        for (const auto* number : { "1", "2" }) {
            platform.put("servers", std::string("raw-plain-") + number, serverEntry(backend.endpoint(), "ledger", {}));
            platform.put("servers", std::string("raw-prefill-") + number, serverEntry(backend.endpoint(), "llm", "prefill"));
            platform.put("servers", std::string("raw-decode-") + number, serverEntry(backend.endpoint(), "llm", "decode"));
        }
        startAndWait();
    }
    ~CutFixture() { stop(); }
    CutFixture(const CutFixture&) = delete;
    auto operator=(const CutFixture&) -> CutFixture& = delete;

    /// Cuts the next responses.
    /// @param target path of the calls whose responses are cut, "prefill" or "decode".
    /// @param text at which the head of the response ends.
    /// @param count number of responses.
    auto cutNext(const std::string& target, const std::string& text, int count) -> void
    {
        const std::lock_guard guard(lock);
        cutTarget = target;
        cut = text;
        cutCalls = count;
        seen = 0;
    }

    auto reply(const RawRequest& request) -> RawReply
    {
        const std::lock_guard guard(lock);
        const auto isDecode = request.target.ends_with("/m") && request.stage.empty();
        const auto isCut = request.target == cutTarget || (isDecode && cutTarget == "decode") || (request.stage == "prefill" && cutTarget == "prefill");
        if (isCut && ++seen <= cutCalls)
            return { cutHead(request, cut), true, {}, resets };
        if (isDecode)
            return { rawResponse(200, idField(request) + seal + "Content-Type: text/event-stream\r\n", streamText(1, 12)) };
        if (request.target.starts_with("/-/") || !request.stage.empty())
            return { validControlResponse(request) };
        return { validResponse(request) };
    }

    std::mutex lock;
    std::string cutTarget;
    std::string cut;
    std::atomic<bool> resets { false };
    int cutCalls = 0;
    /// Number of calls of the chosen sort.
    std::atomic<int> seen { 0 };
    RawBackend backend { threads, [this](const RawRequest& request) { return reply(request); } };
};

}

// Guards against the head of a response that counts as whole although its server closed or reset the connection inside it.
TEST_CASE("no operation of the backend protocol succeeds with a head that breaks off")
{
    ProtocolFixture fixture;
    for (const auto& [operation, succeeded] : fixture.run()) {
        CAPTURE(operation);
        CHECK(succeeded);
    }
    fixture.resets = GENERATE(false, true);
    constexpr std::size_t maxMissing = 160;
    for (std::size_t missing = 1; missing <= maxMissing; ++missing) {
        fixture.missing = missing;
        for (const auto& [operation, succeeded] : fixture.run()) {
            CAPTURE(operation, missing, fixture.resets.load());
            CHECK_FALSE(succeeded);
        }
    }
}

// Guards against a 200 with an empty or short body, against a call that is repeated although it must not be, and against
// one that is reported as not run.
TEST_CASE("a plain call whose response breaks off in its head is repeated or ends with an unknown outcome")
{
    CutFixture fixture;
    fixture.resets = GENERATE(false, true);
    const bool isRead = GENERATE(false, true);
    const std::string target = isRead ? "/read/x" : "/post/x";
    const auto call = [&] { return fixture.call(isRead ? "GET" : "POST", target); };
    for (const auto& cut : cuts()) {
        CAPTURE(cut, fixture.resets.load(), isRead);
        fixture.cutNext(target, cut, 1);
        const auto response = call();
        REQUIRE(response.has_value());
        CHECK(response->status == (isRead ? 200 : 502));
        CHECK(fixture.seen == (isRead ? 2 : 1));
        if (isRead)
            CHECK(response->body == "GET /read/x");
        // Successes end the ejection of the servers, and the next call uses their connections.
        CHECK(fixture.waitUntil([&] { return call()->status == 200 && call()->status == 200; }));
    }
    fixture.cutNext(target, "Content-Length: 2", std::numeric_limits<int>::max());
    const auto response = call();
    REQUIRE(response.has_value());
    CHECK(response->status == 502);
    CHECK_THAT(response->body, Catch::Contains(R"("ran":"unknown")"));
}

// Guards against a 200 with an empty or short stream.
TEST_CASE("a model request whose call breaks off in its head ends complete or with an error")
{
    CutFixture fixture;
    fixture.resets = GENERATE(false, true);
    const auto call = GENERATE(std::string("prefill"), std::string("decode"), std::string("/-/hold-take"));
    for (const auto* cut : { "Early", "200 Status\r\n", "Content-Length: ", "Content-Length: 2", "Server-Se" }) {
        CAPTURE(call, cut, fixture.resets.load());
        fixture.cutNext(call, cut, 1);
        const auto response = fixture.streamCall("/resumed/m");
        REQUIRE(response.has_value());
        CHECK(fixture.seen > 0);
        CHECK(response->status == 200);
        CHECK(response->body == streamText(1, 12));
    }
    fixture.cutNext(call, "Content-Length: 2", std::numeric_limits<int>::max());
    const auto response = fixture.streamCall("/once/m");
    REQUIRE(response.has_value());
    // A slot that can't be reserved leaves the request unstarted.
    CHECK(response->status == (call == "/-/hold-take" ? 503 : 502));
}
