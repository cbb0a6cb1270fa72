#include "../HttpTestServer.h"
#include "../RawBackend.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

struct StatusServer {
    ~StatusServer() { threads.stop(); }

    /// @return the result of a call that is answered with these bytes.
    auto call(std::string bytes, bool closes) -> HttpResult<HttpResponse>
    {
        reply = { std::move(bytes), closes };
        HttpCallOptions options;
        // Ends a call that waits for another response; a busy machine answers well within it.
        options.timeout = 5s;
        HttpRequest request { "POST", "/", {}, "x" };
        return runOn(threads, 1, threads.client(1).request(backend.endpoint(), std::move(request), options));
    }

    RawReply reply;
    IoThreads threads { 2 };
    RawBackend backend { threads, [this](const RawRequest&) { return reply; } };
};

}

// Guards against a status that is none and is passed on, counts as interim so that the call waits for another response,
// or makes the body of the response count as the response.
TEST_CASE("a response whose status is not between 100 and 599 is malformed")
{
    const auto line = GENERATE(std::string("HTTP/1.1 000 S"), std::string("HTTP/1.1 001 S"), std::string("HTTP/1.1 099 S"), std::string("HTTP/1.1 600 S"), std::string("HTTP/1.1 999 S"), std::string("HTTP/1.1 1000 S"), std::string("HTTP/1.1 abc S"), std::string("HTTP/1.1 2x0 S"), std::string("HTTP/1.1 -20 S"), std::string("HTTP/1.1 20 S"), std::string("HTTP/1.1  "), std::string("HTTP/1.1 "), std::string("HTTP/1.1"));
    const auto rest = GENERATE(std::string("Content-Length: 4\r\n\r\nbody"), std::string("Content-Length: 0\r\n\r\n"), std::string("\r\n"), "Content-Length: 43\r\n\r\n" + rawResponse(200, "", "nest"));
    const bool closes = GENERATE(false, true);
    CAPTURE(line, rest, closes);
    StatusServer server;
    const auto result = server.call(line + "\r\n" + rest, closes);
    REQUIRE(result.has_error());
    CHECK(result.error().kind == HttpErrorKind::MalformedAnswer);
}

// Guards against a check that refuses what the protocol allows.
TEST_CASE("the first and last statuses of the range are received")
{
    StatusServer server;
    CHECK(server.call("HTTP/1.1 100 Continue\r\n\r\n" + rawResponse(200, "", "a"), false)->body == "a");
    CHECK(server.call(rawResponse(299, "", "b"), false)->status == 299);
    CHECK(server.call(rawResponse(599, "", "c"), false)->status == 599);
}
