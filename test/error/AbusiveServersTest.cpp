#include "../AbusedRouter.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// Bytes of one write of a server whose lines are complete at the end of each, and of a line, which divides them and the
/// bytes of one read.
constexpr std::size_t alignedWrite = 400;
constexpr std::size_t alignedLine = 16;

auto responseHead(std::string_view fields) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nRequest-Id: r\r\nServer-Seal: s\r\n" + std::string(fields);
}

/// @return the beginning of a head whose size is a multiple of that of an aligned line.
auto alignedHead() -> std::string
{
    auto head = responseHead("Padding: ");
    while ((head.size() + 2) % alignedLine != 0)
        head += 'x';
    return head + "\r\n";
}

auto chunkedResponse() -> std::string
{
    return responseHead("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
}

struct NamedResponse {
    const char* name;
    AbusiveCaller response;
};

/// Responses that a faulty or hostile server may send.
const NamedResponse responses[] = {
    { "endless header line", { .opening = responseHead("Long: "), .repeated = std::string(65'536, 'x') } },
    { "endless header lines", { .opening = responseHead({}), .repeated = repeat("a:\r\n", 65'536) } },
    { "endless header lines in small writes", { .opening = alignedHead(), .repeated = repeat("a:\r\n", 65'536), .writeBytes = alignedWrite } },
    { "endless unusual header lines in small writes", { .opening = alignedHead(), .repeated = repeat("!#$%&'*+-.^_:\"\r\n", 65'536), .writeBytes = alignedWrite } },
    { "empty lines before the head", { .repeated = repeat("\r\n", 65'536) } },
    { "very many header lines and an unsent body", { .opening = responseHead("Content-Length: 4096\r\n") + repeat("a:\r\n", 16'000) + "\r\n", .writeBytes = alignedWrite } },
    { "interim responses without end", { .repeated = repeat("HTTP/1.1 100 Continue\r\n\r\n", 65'536) } },
    { "trailers without end", { .opening = chunkedResponse() + "0\r\n", .repeated = repeat("a:\r\n", 65'536) } },
    { "trailers without end in small writes", { .opening = chunkedResponse() + "0\r\n", .repeated = repeat("a:\r\n", 65'536), .writeBytes = alignedWrite } },
    { "very many trailers", { .opening = chunkedResponse() + "0\r\n" + repeat("a:\r\n", 60'000) + "\r\n" } },
    { "chunk extensions without end", { .opening = chunkedResponse() + "5;", .repeated = std::string(65'536, 'x') } },
    { "one-byte chunks", { .opening = chunkedResponse(), .repeated = repeat("1\r\nx\r\n", 65'536) } },
};
constexpr auto responseCount = static_cast<int>(std::size(responses));

auto allResponses() -> std::vector<AbusiveCaller>
{
    std::vector<AbusiveCaller> all;
    for (const auto& [name, response] : responses)
        all.push_back(response);
    return all;
}

/// A caller within the limits, whose requests follow one another.
const AbusiveCaller ordinaryCaller { .repeated = requestHead("/silent/", "Content-Length: 0\r\n\r\n") };

auto checkServer(const std::string& name, const std::vector<AbusiveCaller>& served) -> void
{
    const AbusiveServer server(served);
    AbusedRouter router(lowLimits, server.endpoint());
    router.check("server: " + name, router.callers, crowdOf(crowdSize, ordinaryCaller));
    CHECK(server.connections() > 0);
}

auto checkStore(const std::string& name, const std::vector<AbusiveCaller>& served) -> void
{
    AbusedRouter router;
    const AbusiveServer server(served, router.endStore());
    const auto descriptors = router.run([] {});
    router.checkProcess("store: " + name, descriptors, server.connections());
    CHECK(server.connections() > 0);
}

}

// Guards against a response of a backend server whose head or trailers take the memory of the instance.
TEST_CASE("responses of servers with heads or trailers without end stay within the memory")
{
    const auto& [name, response] = responses[GENERATE(range(0, responseCount))];
    checkServer(name, { response });
}

// Guards against bounds that hold for each sort of response alone, and not for their sum.
TEST_CASE("a mixture of abusive responses of servers stays within the memory and the descriptors")
{
    checkServer("mixture", allResponses());
}

// Guards against the same responses from the store.
TEST_CASE("responses of the store with heads or trailers without end stay within the memory")
{
    const auto& [name, response] = responses[GENERATE(range(0, responseCount))];
    checkStore(name, { response });
}
