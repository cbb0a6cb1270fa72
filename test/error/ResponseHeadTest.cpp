#include "../HttpTestServer.h"
#include "../RawBackend.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

auto headLines(std::size_t count) -> std::string
{
    std::string lines;
    for (std::size_t line = 0; line < count; ++line)
        lines += "a:\r\n";
    return lines;
}

/// Calls a server that sends the given header lines.
/// @param reached receives the limits that were reached.
auto callWith(HttpClientSettings settings, const std::string& fields, std::vector<std::string>& reached) -> HttpResult<HttpResponse>
{
    settings.onLimitReached = [&reached](const HttpEndpoint&, std::string_view limit) { reached.emplace_back(limit); };
    IoThreads threads(1, settings);
    const RawBackend backend(threads, [&](const RawRequest&) { return RawReply { rawResponse(200, fields, "body") }; });
    auto response = runOn(threads, 0, threads.client(0).request(backend.endpoint(), { "GET", "/", {}, {} }, 5s));
    threads.stop();
    return response;
}

}

// Guards against a head of many lines, each of which takes many times its bytes, and against a sound response that is refused.
TEST_CASE("the head of a response has limits of bytes and lines")
{
    HttpClientSettings settings;
    settings.maxHeaderLines = 100;
    std::vector<std::string> reached;
    CHECK(callWith(settings, headLines(90), reached).has_value());
    CHECK(reached.empty());
    const auto manyLines = callWith(settings, headLines(100), reached);
    REQUIRE(manyLines.has_error());
    CHECK(manyLines.error().kind == HttpErrorKind::MalformedAnswer);
    const auto longLine = callWith(settings, "Long: " + std::string(17'000, 'x') + "\r\n", reached);
    REQUIRE(longLine.has_error());
    CHECK(longLine.error().kind == HttpErrorKind::MalformedAnswer);
    CHECK(reached == std::vector<std::string> { "header_lines", "header_bytes" });
}

// Guards against heads that the budget of the responses does not count, and against bytes that it keeps.
TEST_CASE("a head of many lines counts in the budget of the responses")
{
    constexpr std::size_t budgetBytes = 100'000;
    HttpClientSettings settings;
    settings.responseBudget = std::make_shared<ResponseBudget>(budgetBytes);
    std::vector<std::string> reached;
    {
        const auto response = callWith(settings, headLines(100), reached);
        REQUIRE(response.has_value());
        CHECK(settings.responseBudget->heldBytes() >= std::size_t { 51'200 });
    }
    CHECK(settings.responseBudget->heldBytes() == 0);
    const auto tooMany = callWith(settings, headLines(1'000), reached);
    REQUIRE(tooMany.has_error());
    CHECK(tooMany.error().kind == HttpErrorKind::MalformedAnswer);
    CHECK(settings.responseBudget->endedResponses() == 1);
    CHECK(settings.responseBudget->heldBytes() == 0);
}
