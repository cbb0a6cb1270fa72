#include "../EntryHarness.h"
#include "../FakeRecords.h"

#include "Pause.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Reads one request head and discards it.
auto readRequest(asio::ip::tcp::socket& socket) -> asio::awaitable<void>
{
    std::array<char, 4'096> buffer {};
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
}

}

// Guards against a call that the HTTP client sends again by itself although the backend server ran it and
// lost the answer, so that neither the retry budget nor the maximum attempts apply.
TEST_CASE("a call that a backend server ran is not sent again without a retry of the budget")
{
    FakeRecords records;
    IoThreads threads { 1 };
    EntryHarness harness { records };
    auto configuration = std::make_shared<Configuration>(*entryConfiguration());
    for (auto& service : configuration->services)
        service.retry = { .ratio = 0, .burst = 0, .isShared = true };
    harness.services().updateConfiguration(configuration);
    std::atomic<int> runs { 0 };
    std::atomic<bool> losesAnswers { false };
    HttpServer ledger(threads, {}, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        ++runs;
        if (losesAnswers)
            exchange.abort();
        else
            co_await exchange.respond(jsonResponse(200, "{}"));
    });
    harness.addBackend("ledger-1", "ledger", ledger.endpoint());
    const auto lookup = [&] { return *harness.call({ "GET", "/services/coop-ledger/stock", {}, {} }); };
    CHECK(lookup().status == 200);
    losesAnswers = true;
    CHECK(lookup().status == 503);
    CHECK(runs == 2);
    threads.stop();
}

// Guards against a call that counts as never sent because its second send found no listener.
TEST_CASE("a call that was sent once and could not be sent again is reported as sent")
{
    IoThreads threads(2);
    asio::ip::tcp::acceptor acceptor(threads.context(0), { asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = acceptor.local_endpoint().port();
    auto serve = [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        co_await readRequest(socket);
        co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        co_await readRequest(socket);
        acceptor.close();
    };
    asio::co_spawn(threads.context(0), serve(), asio::detached);
    const auto call = [&] { return runOn(threads, 1, threads.client(1).request({ "127.0.0.1", port }, HttpRequest {}, 2s)); };
    REQUIRE(call().has_value());
    const auto lost = call();
    threads.stop();
    REQUIRE(lost.has_error());
    CHECK(lost.error().kind == HttpErrorKind::ConnectionLost);
}

// Guards against a call that fails although its connection had only been closed while it was idle, and
// against a second send of a call that the server had read.
TEST_CASE("a call is sent again only if its connection fails at once")
{
    const auto closeDelay = GENERATE(Duration::zero(), Duration(200ms));
    const auto isStale = closeDelay == Duration::zero();
    IoThreads threads(2);
    asio::ip::tcp::acceptor acceptor(threads.context(0), { asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = acceptor.local_endpoint().port();
    auto serve = [&]() -> asio::awaitable<void> {
        auto first = co_await acceptor.async_accept(asio::use_awaitable);
        co_await readRequest(first);
        co_await asio::async_write(first, asio::buffer(answer), asio::use_awaitable);
        co_await readRequest(first);
        co_await pause(closeDelay);
        first.close();
        auto second = co_await acceptor.async_accept(asio::use_awaitable);
        co_await readRequest(second);
        co_await asio::async_write(second, asio::buffer(answer), asio::use_awaitable);
    };
    asio::co_spawn(threads.context(0), serve(), asio::detached);
    auto asked = 0;
    const auto call = [&] {
        HttpCallOptions options;
        options.timeout = 2s;
        options.mayReuse = true;
        options.mayResend = [&] { return ++asked > 0; };
        return runOn(threads, 1, threads.client(1).request({ "127.0.0.1", port }, HttpRequest {}, options));
    };
    REQUIRE(call().has_value());
    CHECK(call().has_value() == isStale);
    CHECK(asked == (isStale ? 1 : 0));
    threads.stop();
}

// Guards against a call that reaches a server that is known to be leaving, because the HTTP client sends it again after the
// connection closed.
TEST_CASE("a call is not sent again to a server that has begun to leave")
{
    const auto isLeaving = GENERATE(true, false);
    FakeRecords records;
    IoThreads threads { 1 };
    EntryHarness harness { records };
    std::atomic<int> runs { 0 };
    BackendServer target { .id = "ledger-1", .availabilityZone = "alpine", .pool = "ledger" };
    HttpServer ledger(threads, {}, [&](HttpExchange& exchange) -> asio::awaitable<void> {
        if (++runs != 2) {
            co_await exchange.respond(jsonResponse(200, "{}"));
            co_return;
        }
        if (isLeaving)
            harness.services().handleNotice(target, monotonicNow(), { .status = 200, .isLeaving = true });
        exchange.abort();
    });
    target.endpoint = ledger.endpoint();
    harness.addBackend(target.id, target.pool, target.endpoint);
    const auto lookup = [&] { return *harness.call({ "GET", "/services/coop-ledger/stock", {}, {} }); };
    CHECK(lookup().status == 200);
    CHECK(lookup().status == (isLeaving ? 503 : 200));
    CHECK(runs == (isLeaving ? 2 : 3));
    threads.stop();
}

// The same for prefills and decodes.
TEST_CASE("no retry is taken for a call to an engine that has begun to leave")
{
    FakeRecords records;
    EntryHarness harness { records };
    harness.addBackend("prefill-1", "prefill", { "127.0.0.1", 1 });
    const auto service = harness.services().modelService("appraiser-llm");
    const auto replica = service->replicas().at(0);
    CHECK(service->isLive(replica.backend));
    CHECK(service->tryConsumeRetry(replica.id));
    CHECK(harness.services().handleNotice(replica.backend, monotonicNow(), { .status = 200, .origin = ResponseOrigin::Unidentified, .isLeaving = true }));
    CHECK_FALSE(service->tryConsumeRetry(replica.id));
    CHECK_FALSE(service->isLive(replica.backend));
}
