#include "../EndlessServer.h"
#include "../RouterFixture.h"

#include "Protocols.h"

#include <future>

using namespace jayhold;
using namespace jayhold::test;

// Guards against a faulty server that gets most calls because it answers at once, and against callers that are told that
// their request did not run although the server may have run it.
TEST_CASE("a server whose responses have no end counts as failed")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n";
    const auto prefix = GENERATE_COPY(std::string(), ok + "Field: ", ok + "Content-Length: 99999999999\r\n\r\n", ok + "\r\n");
    CAPTURE(prefix);
    constexpr int calls = 20;
    RouterFixture fixture;
    const EndlessServer endless(fixture.threads, prefix);
    fixture.platform.remove("servers", "plain-2");
    fixture.platform.put("servers", "endless", serverEntry(endless.endpoint(), "ledger", {}));
    fixture.startAndWait();
    for (auto call = 0; call < calls; ++call) {
        const auto repeatable = fixture.call("GET", "/read/x");
        REQUIRE(repeatable.has_value());
        CHECK(repeatable->status == 200);
        const auto before = endless.calls();
        const auto once = fixture.call("POST", "/post/x");
        REQUIRE(once.has_value());
        const auto hasReachedServer = endless.calls() > before;
        if (hasReachedServer)
            CHECK((once->status == 502 || once->status == 504));
        else
            CHECK(once->status == 200);
    }
    CAPTURE(endless.calls());
    CHECK(endless.calls() >= 1);
    CHECK(endless.calls() <= calls / 4);
}

// Guards against a control call that lasts for as long as its server sends a byte within each timeout.
TEST_CASE("a control call whose response trickles ends by its timeout")
{
    IoThreads threads { 2 };
    const EndlessServer endless(threads, "HTTP/1.1 200 OK\r\n\r\n", "x");
    const BackendServer server { .id = "slow", .endpoint = endless.endpoint() };
    auto result = boost::asio::co_spawn(threads.context(1), platform::backendProtocol().orderState(threads.client(1), server, 300ms, ignoreNotices()), boost::asio::use_future);
    const auto hasEnded = result.wait_for(2s) == std::future_status::ready;
    CHECK(hasEnded);
    if (hasEnded)
        CHECK(result.get().error().failure == FailureKind::TimedOut);
    threads.stop();
}
