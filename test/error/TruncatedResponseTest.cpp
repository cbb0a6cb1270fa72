#include "../HttpTestServer.h"
#include "../RawBackend.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

const std::string interimHead = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
const std::string lengthHead = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 12\r\nServer-Seal: s\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\nServer-Seal: s\r\n\r\n";
const std::string plainHead = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Seal: s\r\n\r\n";

/// A server that sends the beginning of a response and ends the connection, at each position of the response in turn.
struct CutServer {
    explicit CutServer(std::string responseBytes)
        : response(std::move(responseBytes))
    {
    }
    ~CutServer() { threads.stop(); }
    CutServer(const CutServer&) = delete;
    auto operator=(const CutServer&) -> CutServer& = delete;

    auto send(const std::string& target) -> HttpResult<HttpResponse>
    {
        HttpCallOptions options;
        options.timeout = 2s;
        options.mayReuse = true;
        HttpRequest request { "POST", target, {}, "x" };
        return runOn(threads, 1, threads.client(1).request(backend.endpoint(), std::move(request), options));
    }

    /// @param isReused whether the response comes on a connection that has served another call.
    auto receive(std::size_t size, bool cutsByReset, bool isReused) -> HttpResult<HttpResponse>
    {
        cut = size;
        resets = cutsByReset;
        if (isReused)
            REQUIRE(send("/whole").has_value());
        const auto connections = backend.connections();
        auto result = send("/cut");
        CHECK(backend.connections() == connections + (isReused ? 0 : 1));
        return result;
    }

    const std::string response;
    std::atomic<std::size_t> cut { 0 };
    std::atomic<bool> resets { false };
    IoThreads threads { 2 };
    RawBackend backend { threads, [this](const RawRequest& request) {
                            if (request.target == "/whole")
                                return RawReply { rawResponse(200, "", "whole") };
                            return RawReply { response.substr(0, cut), true, {}, resets };
                        } };
};

}

// Guards against a response that counts as successful although its server closed or reset the connection in the middle
// of it: a cut head that is parsed as a shorter one, and a cut body that is reported as whole.
TEST_CASE("a response that breaks off is an error wherever it is cut")
{
    const auto response = GENERATE(lengthHead + "twelve bytes", chunkedHead + "c\r\ntwelve bytes\r\n0\r\n\r\n", interimHead + lengthHead + "twelve bytes", chunkedHead + "c\r\ntwelve bytes\r\n0\r\nTrailer: x\r\n\r\n");
    const bool resets = GENERATE(false, true);
    const bool isReused = GENERATE(false, true);
    CutServer server(response);
    for (std::size_t size = 0; size < response.size(); ++size) {
        CAPTURE(response.substr(0, size), resets, isReused);
        const auto result = server.receive(size, resets, isReused);
        REQUIRE(result.has_error());
        CHECK(result.error().kind == HttpErrorKind::ConnectionLost);
    }
    CHECK(server.receive(response.size(), false, isReused)->body == "twelve bytes");
}

// Guards against a reset that counts as the end of a response without a length, and against a head without its empty
// line that counts as one.
TEST_CASE("a response without a length is whole if its connection is closed after the head, and not if it is reset")
{
    const std::string response = plainHead + "twelve bytes";
    const bool resets = GENERATE(false, true);
    const bool isReused = GENERATE(false, true);
    CutServer server(response);
    for (std::size_t size = 0; size <= response.size(); ++size) {
        CAPTURE(response.substr(0, size), resets, isReused);
        const auto result = server.receive(size, resets, isReused);
        REQUIRE(result.has_value() == (size >= plainHead.size() && !resets));
        if (result.has_value())
            CHECK(result->body == response.substr(plainHead.size(), size - plainHead.size()));
    }
}
