#include "../RawConnection.h"
#include "../RouterFixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <future>
#include <vector>

using namespace jayhold;
using namespace jayhold::test;
namespace asio = boost::asio;

namespace {

constexpr int streamsTogether = 6;
constexpr std::string_view firstAttempt = "first-attempt";

/// A router whose engines have two software versions: decode-1 and prefill-1 the first, decode-2 and prefill-2 the other.
struct VersionsFixture : RouterFixture {
    VersionsFixture()
    {
        decode1.setTiming(0ms, 200ms);
        decode2.setTiming(0ms, 200ms);
        registerVersion(prefill, "prefill", "v1");
        registerVersion(prefill2, "prefill", "v2");
        registerVersion(decode1, "decode", "v1");
        registerVersion(decode2, "decode", "v2");
    }
    ~VersionsFixture() { stop(); }
    VersionsFixture(const VersionsFixture&) = delete;
    auto operator=(const VersionsFixture&) -> VersionsFixture& = delete;

    auto registerVersion(const FakeBackendServer& server, const std::string& phase, const std::string& version) -> void
    {
        auto entry = serverEntry(server.endpoint(), "llm", phase);
        entry["version"] = version;
        platform.put("servers", server.id(), std::move(entry));
    }

    /// Sends the first attempt of a request and ends the process of the router when the caller has the first event.
    auto killAfterFirstEvent() -> void
    {
        asio::io_context context;
        auto socket = connectTo(context, router->endpoint());
        const auto request = "POST /resumed/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + std::string(firstAttempt) + "\r\nDeadline-Ms: 10000\r\nModel: m\r\nToken-Counts: 100,200\r\nContent-Length: 6\r\n\r\nprompt";
        asio::write(socket, asio::buffer(request));
        std::string received;
        asio::read_until(socket, asio::dynamic_buffer(received), "id: 1\n");
        router.reset();
    }

    /// @return the engine that began the stream of the first attempt.
    auto beginner() -> FakeBackendServer&
    {
        REQUIRE(decode1.runs() + decode2.runs() == 1);
        return decode1.runs() == 1 ? decode1 : decode2;
    }
    auto other() -> FakeBackendServer& { return &beginner() == &decode1 ? decode2 : decode1; }

    auto takeUp(std::string_view resumed = firstAttempt) -> HttpResult<HttpResponse>
    {
        return streamCall("/resumed/x", { { "Last-Event-Id", "1" }, { "Resumes", std::string(resumed) } });
    }

    /// Begins streams at the same time, so that they are placed on several engines.
    /// @return the number of complete responses.
    auto beginTogether(int streams) -> int
    {
        std::vector<std::future<HttpResult<HttpResponse>>> responses;
        for (int stream = 0; stream < streams; ++stream) {
            HttpRequest request { "POST", "/resumed/x", { { "Host", "a.example" }, { "Request-Id", "new-" + std::to_string(++requests) }, { "Deadline-Ms", "1500" }, { "Model", "m" }, { "Token-Counts", "100,200" } }, "prompt" };
            responses.push_back(asio::co_spawn(threads.context(0), threads.client(0).request(router->endpoint(), std::move(request), 5s), asio::use_future));
        }
        return static_cast<int>(std::ranges::count_if(responses, [](auto& response) {
            const auto result = response.get();
            return result.has_value() && result->status == 200;
        }));
    }

    /// @return whether a response is a refusal of a request that was sent to no engine.
    auto isRefused(const HttpResult<HttpResponse>& response, bool hasRetryDelay) const -> bool
    {
        return response.has_value() && response->status == 503 && findHeader(response->headers, "Retry-After").has_value() == hasRetryDelay;
    }

    FakeBackendServer prefill2 { threads, "prefill-2" };
};

/// A router in whose default version v1 streams begin without a record, and engines of version v2 that have just started.
struct ReleaseFixture : VersionsFixture {
    ReleaseFixture()
    {
        decode1.setTiming(0ms, 20ms);
        decode2.setTiming(0ms, 20ms);
        platform.remove("servers", "decode-2");
        platform.remove("servers", "prefill-2");
        startAndWait();
        // The state of the service is created.
        std::this_thread::sleep_for(500ms);
        registerVersion(prefill2, "prefill", "v2");
        registerVersion(decode2, "decode", "v2");
    }
};

}

// Guards against events of two software versions in one stream after all instances have lost their memory.
TEST_CASE("a stream whose version has gone is not taken up at another one")
{
    VersionsFixture fixture;
    fixture.startAndWait();
    fixture.killAfterFirstEvent();
    auto& beginner = fixture.beginner();
    auto& other = fixture.other();
    fixture.platform.remove("servers", beginner.id());
    fixture.startAndWait();
    CHECK(fixture.isRefused(fixture.takeUp(), true));
    CHECK(other.runs() == 0);
}

// Guards against streams that are lost, or given to another version, although their own still serves.
TEST_CASE("a stream goes on at its version after all instances have started again")
{
    VersionsFixture fixture;
    fixture.startAndWait();
    fixture.killAfterFirstEvent();
    auto& beginner = fixture.beginner();
    auto& other = fixture.other();
    fixture.startAndWait();
    const auto response = fixture.takeUp();
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == streamText(2, 5));
    CHECK(beginner.runs() == 2);
    CHECK(other.runs() == 0);
    // A second take-up names the first attempt as well.
    CHECK(fixture.takeUp()->status == 200);
    CHECK(other.runs() == 0);
    CHECK(findHeader(beginner.lastRequest().headers, "Resumes") == firstAttempt);
}

// Guards against a stream of the default version, which has no record, that goes on at the version of a release.
TEST_CASE("a stream that began before a release goes on at the old version")
{
    VersionsFixture fixture;
    fixture.platform.remove("servers", "decode-2");
    fixture.platform.remove("servers", "prefill-2");
    fixture.startAndWait();
    // The state of the service is created.
    std::this_thread::sleep_for(500ms);
    fixture.killAfterFirstEvent();
    REQUIRE(fixture.decode1.runs() == 1);
    fixture.registerVersion(fixture.prefill2, "prefill", "v2");
    fixture.registerVersion(fixture.decode2, "decode", "v2");
    fixture.startAndWait();
    const auto response = fixture.takeUp();
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(fixture.decode1.runs() == 2);
    CHECK(fixture.decode2.runs() == 0);
}

// Guards against streams that can't begin while the store is away although an engine of the default version has room.
TEST_CASE("while the store is away streams begin at the default version")
{
    ReleaseFixture fixture;
    REQUIRE(fixture.waitUntil([&] {
        fixture.beginTogether(streamsTogether);
        return fixture.decode2.runs() > 0;
    }));
    fixture.platform.setDown(true);
    // Longer than the time until this instance notices.
    std::this_thread::sleep_for(1s);
    const auto runs = fixture.decode2.runs();
    CHECK(fixture.beginTogether(streamsTogether) == streamsTogether);
    CHECK(fixture.decode2.runs() == runs);
}

// Guards against events of a version that no other instance could find out, and against requests that outlast their
// deadline.
TEST_CASE("a stream of another version than the default that can't be recorded ends by its deadline")
{
    ReleaseFixture fixture;
    fixture.platform.remove("servers", "decode-1");
    REQUIRE(fixture.waitUntil([&] { return fixture.beginTogether(1) == 1 && fixture.decode2.runs() > 0; }));
    fixture.platform.setDown(true);
    std::this_thread::sleep_for(1s);
    const auto sentAt = monotonicNow();
    const auto response = fixture.streamCall("/resumed/x");
    CHECK(response->status >= 500);
    CHECK(response->body.find("data: ") == std::string::npos);
    CHECK(monotonicNow() - sentAt < 3s);
    fixture.platform.setDown(false);
    CHECK(fixture.waitUntil([&] { return fixture.beginTogether(1) == 1; }));
}

// Guards against a guess at the version of a stream that nobody knows.
TEST_CASE("a stream of unknown version is refused at once and sent to no engine")
{
    VersionsFixture fixture;
    fixture.startAndWait();
    CHECK(fixture.isRefused(fixture.takeUp("never"), false));
    CHECK(fixture.isRefused(fixture.takeUp(""), false));
    fixture.platform.setDown(true);
    CHECK(fixture.isRefused(fixture.takeUp("never"), true));
    CHECK(fixture.decode1.requests() + fixture.decode2.requests() == 0);
    CHECK(fixture.prefill.requests() + fixture.prefill2.requests() == 0);
}
