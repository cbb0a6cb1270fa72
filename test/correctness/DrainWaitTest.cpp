#include "../HttpTestServer.h"
#include "../RawConnection.h"

#include "DrainWait.h"
#include "Pause.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

// Guards against a drain that never ends the open exchanges because its thread is short of processor time throughout: the
// platform then kills the process, and no request gets an answer.
TEST_CASE("the wait of a drain ends although its thread stands still again and again")
{
    IoThreads threads { 2 };
    HttpServer server(threads, {}, [](HttpExchange& exchange) -> asio::awaitable<void> {
        co_await pause(4s);
        HttpResponse response { 200, {}, {} };
        co_await exchange.respond(std::move(response));
    });
    asio::io_context context;
    auto caller = connectTo(context, server.endpoint());
    asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
    const auto readEnd = monotonicNow() + 5s;
    while (server.activeExchanges() == 0 && monotonicNow() < readEnd)
        std::this_thread::sleep_for(5ms);
    REQUIRE(server.activeExchanges() == 1);
    const auto startedAt = monotonicNow();
    const auto standStill = [&]() -> asio::awaitable<void> {
        while (monotonicNow() - startedAt < 3s) {
            std::this_thread::sleep_for(120ms);
            co_await pause(1ms);
        }
    };
    asio::co_spawn(threads.context(0), standStill(), asio::detached);
    const auto wait = [&]() -> asio::awaitable<Duration> {
        co_await awaitExchanges(server, startedAt + 200ms);
        co_return monotonicNow() - startedAt;
    };
    CHECK(runOn(threads, 0, wait()) < 1'500ms);
    threads.stop();
}
