#include "../HttpTestServer.h"
#include "../RawBackend.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

/// Sends a call with a correlation value that may reuse a connection.
/// @return the body of the response; empty if there is none.
auto correlatedCall(IoThreads& threads, const RawBackend& backend, const std::string& id) -> std::string
{
    HttpCallOptions options;
    options.timeout = 2s;
    options.mayReuse = true;
    options.mayResend = [] { return true; };
    options.correlationHeader = HttpHeader { "Request-Id", id };
    HttpRequest request { "POST", "/", { { "Request-Id", id } }, {} };
    const auto response = runOn(threads, 1, threads.client(1).request(backend.endpoint(), std::move(request), options));
    return response.has_value() ? response->body : std::string();
}

}

// Guards against a repeated response to an earlier attempt of a request that counts as the response to the current
// one, because both have the same id.
TEST_CASE("a connection that has carried a call is not reused for a call with the same id")
{
    IoThreads threads(2);
    RawBackend backend(threads, [](const RawRequest& request) {
        const auto refusal = rawResponse(503, idField(request), "refused");
        return RawReply { request.connection == 1 ? refusal : validResponse(request) };
    });
    CHECK(correlatedCall(threads, backend, "a") == "refused");
    CHECK(correlatedCall(threads, backend, "b") == "refused");
    CHECK(backend.connections() == 1);
    CHECK(correlatedCall(threads, backend, "a") == "POST /");
    CHECK(backend.connections() == 2);
    CHECK(correlatedCall(threads, backend, "b") == "POST /");
    CHECK(backend.connections() == 2);
    threads.stop();
}

// Guards against further responses to earlier calls on a connection on which one has arrived already.
TEST_CASE("a connection on which an unexpected response arrived is closed")
{
    const std::string field = GENERATE("Request-Id: old\r\n", "Other: 1\r\n");
    IoThreads threads(2);
    RawBackend backend(threads, [&](const RawRequest& request) {
        const auto unexpected = rawResponse(503, field, "unexpected") + (field.starts_with("Request-Id") ? validResponse(request) : "");
        return RawReply { request.connection == 1 && request.call == 2 ? unexpected : validResponse(request) };
    });
    CHECK(correlatedCall(threads, backend, "a") == "POST /");
    correlatedCall(threads, backend, "b");
    CHECK(backend.calls() == 2);
    CHECK(correlatedCall(threads, backend, "c") == "POST /");
    CHECK(backend.connections() == 2);
    threads.stop();
}

// Guards against a second run of a call by a server that has only repeated an earlier response before it closed the
// connection. Such a connection was not closed while it was idle.
TEST_CASE("a call is not sent again after an unexpected response")
{
    IoThreads threads(2);
    RawBackend backend(threads, [&](const RawRequest& request) {
        const auto isSecond = request.connection == 1 && request.call == 2;
        return RawReply { isSecond ? rawResponse(503, "Request-Id: old\r\n") : validResponse(request), isSecond };
    });
    CHECK(correlatedCall(threads, backend, "a") == "POST /");
    CHECK(correlatedCall(threads, backend, "b").empty());
    CHECK(backend.calls() == 2);
    threads.stop();
}

// Guards against a response that was received before the call was sent: in the buffer together with the earlier
// response, or on the idle connection.
TEST_CASE("bytes that arrive without a call close their connection")
{
    const bool isLate = GENERATE(false, true);
    IoThreads threads(2);
    RawBackend backend(threads, [&](const RawRequest& request) {
        const auto refusal = rawResponse(503, "", "repeated");
        return RawReply { validResponse(request) + (isLate ? std::string() : refusal), false, isLate ? refusal : std::string() };
    });
    for (const auto* id : { "a", "b", "c" }) {
        CHECK(correlatedCall(threads, backend, id) == "POST /");
        std::this_thread::sleep_for(200ms);
    }
    CHECK(backend.connections() == 3);
    threads.stop();
}
