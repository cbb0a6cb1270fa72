#include "../EarlyServer.h"
#include "../HttpTestServer.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

const std::string openHead = "HTTP/1.1 200 OK\r\n\r\n";

/// A server that answers /early before it has read the body, and a client.
struct EarlyFixture {
    ~EarlyFixture() { threads.stop(); }

    auto send(const std::string& target, std::size_t bodyBytes) -> HttpResult<HttpResponse>
    {
        HttpCallOptions options;
        options.timeout = timeout;
        options.mayReuse = true;
        options.mayResend = [this] {
            ++resends;
            return false;
        };
        HttpRequest request { "POST", target, {}, std::string(bodyBytes, 'x') };
        return runOn(threads, 1, threads.client(1).request(server.endpoint(), std::move(request), options));
    }

    /// @param isReused whether the call is sent on a connection that has served another one.
    auto sendEarly(std::size_t bodyBytes, bool isReused) -> HttpResult<HttpResponse>
    {
        if (isReused)
            REQUIRE(send("/whole", 1).has_value());
        auto result = send("/early", bodyBytes);
        CHECK(server.connections() == 1);
        return result;
    }

    EarlyServer::Reply early;
    Duration timeout = 2s;
    std::atomic<int> earlyCalls { 0 };
    std::atomic<int> resends { 0 };
    IoThreads threads { 2 };
    EarlyServer server { threads, [this](const RawRequest& request) {
                            const auto isEarly = request.target == "/early";
                            earlyCalls += isEarly;
                            return isEarly ? early : EarlyServer::Reply { rawResponse(200, "", "whole") };
                        } };
};

/// A body that fits in the buffers of a connection, and one that does not.
constexpr std::size_t smallBody = 1'000;
constexpr std::size_t largeBody = 32U << 20U;

}

// Guards against a part of a body that counts as a complete response: the error of the reset is reported once, to the
// write that it interrupts, and the next read finds the end of the stream.
TEST_CASE("an early response without a length is complete if its connection is closed, and not if it is reset")
{
    const auto bodyBytes = GENERATE(smallBody, largeBody);
    const bool isReused = GENERATE(false, true);
    const auto ending = GENERATE(EarlyEnding::Reset, EarlyEnding::Close);
    const auto delay = GENERATE(0ms, 50ms);
    const auto content = GENERATE(std::string("part"), std::string(100'000, 'p'));
    CAPTURE(bodyBytes, isReused, static_cast<int>(ending), delay.count(), content.size());
    EarlyFixture fixture;
    fixture.early = { openHead + content, ending, delay };
    const auto result = fixture.sendEarly(bodyBytes, isReused);
    CHECK(fixture.earlyCalls == 1);
    REQUIRE(result.has_value() == (ending == EarlyEnding::Close));
    if (result.has_value())
        CHECK(result->body == content);
    else
        CHECK(result.error().kind == HttpErrorKind::ConnectionLost);
}

// Guards against a complete response, for example a refusal of the body as not run, that is lost because the server
// resets the connection after it, and against a call that counts as never read and is sent again.
TEST_CASE("an early response with a length is received although the rest of the request can't be sent")
{
    const auto bodyBytes = GENERATE(smallBody, largeBody);
    const bool isReused = GENERATE(false, true);
    const auto framing = GENERATE(std::string("Content-Length: 4\r\n\r\nwhol"), std::string("Transfer-Encoding: chunked\r\n\r\n4\r\nwhol\r\n0\r\n\r\n"));
    const auto delay = GENERATE(0ms, 50ms);
    CAPTURE(bodyBytes, isReused, framing, delay.count());
    EarlyFixture fixture;
    fixture.early = { "HTTP/1.1 413 Status\r\n" + framing, EarlyEnding::Reset, delay };
    const auto result = fixture.sendEarly(bodyBytes, isReused);
    CHECK(fixture.resends == 0);
    REQUIRE(result.has_value());
    CHECK(result->status == 413);
    CHECK(result->body == "whol");
    if (bodyBytes == smallBody)
        return;
    // The rest of the body was not sent, so the connection can't carry another request.
    const auto next = fixture.send("/whole", 1);
    REQUIRE(next.has_value());
    CHECK(next->body == "whole");
    CHECK(fixture.server.connections() == 2);
}

// Guards against a response that counts as whole because the failed write is forgotten while its rest is read.
TEST_CASE("an early response with a length that a reset cuts is an error")
{
    const auto bodyBytes = GENERATE(smallBody, largeBody);
    const auto bytes = GENERATE(std::string("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\npart"), std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"), std::string("HTTP/1.1 200 OK\r\nConte"));
    EarlyFixture fixture;
    fixture.early = { bytes, EarlyEnding::Reset, 20ms };
    const auto result = fixture.sendEarly(bodyBytes, true);
    REQUIRE(result.has_error());
    CHECK(result.error().kind == HttpErrorKind::ConnectionLost);
}

// Guards against a call that never ends, or a part that counts as complete, because the server neither reads nor closes.
TEST_CASE("an early response without a length on a connection that stays open ends with the timeout")
{
    const auto bodyBytes = GENERATE(smallBody, largeBody);
    EarlyFixture fixture;
    fixture.timeout = 300ms;
    fixture.early = { openHead + "part", EarlyEnding::Open };
    const auto result = fixture.sendEarly(bodyBytes, false);
    REQUIRE(result.has_error());
    CHECK(result.error().kind == HttpErrorKind::TimedOut);
    CHECK(fixture.earlyCalls == 1);
}
