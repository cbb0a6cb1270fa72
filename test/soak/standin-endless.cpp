// Stand-in for a backend server of the platform whose answers never end. It prints a line for each request that it starts
// to run, before it responds.
#include "AwaitToken.h"
#include "CommandLine.h"
#include "Pause.h"
#include "StandinMain.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <iostream>

#include <unistd.h>

using namespace jayhold;
namespace asio = boost::asio;

namespace {

/// With the interval, some 8 MB/s on each connection, so that the senders leave the machine time for the rest.
constexpr std::size_t pieceBytes = 16U << 10U;
constexpr Duration pieceInterval = std::chrono::milliseconds(2);

struct EndlessServer {
    std::string id;
    /// What never ends: `head`, `body` or `event`.
    std::string part;
    asio::ip::tcp::acceptor acceptor;
};

auto headerValue(const std::string& head, const std::string& name) -> std::string
{
    const auto found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos)
        return {};
    const auto begin = found + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// @return the beginning of the answer, which any number of letters continues.
auto beginningOf(const EndlessServer& server, const std::string& head) -> std::string
{
    const auto fields = "HTTP/1.1 200 OK\r\nServer-Seal: seal-" + server.id + "\r\nRequest-Id: " + headerValue(head, "Request-Id") + "\r\n";
    if (server.part == "head")
        return fields + "Padding: ";
    if (server.part == "body")
        return fields + "Content-Length: 99999999999\r\n\r\n";
    return fields + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
}

/// @return whether the connection can be used again.
auto respond(const EndlessServer& server, asio::ip::tcp::socket& socket, const std::string& head) -> asio::awaitable<bool>
{
    boost::system::error_code code;
    const auto isReservation = head.find(" /-/hold-take ") != std::string::npos;
    if (head.find(" /-/") != std::string::npos) {
        const std::string body = isReservation ? R"({"hold":"seat"})" : "{}";
        co_await asio::async_write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body), awaitInto(code));
        co_return !code;
    }
    const auto stage = headerValue(head, "Stage");
    const auto line = "event=run replica=" + server.id + " process=" + std::to_string(getpid()) + " request=" + headerValue(head, "Request-Id") + " stage=" + (stage.empty() ? "run" : stage) + " leaving=0 retry_after=0 at=" + std::to_string(monotonicNow().time_since_epoch().count()) + "\n";
    std::cout << line << std::flush;
    const auto beginning = beginningOf(server, head);
    co_await asio::async_write(socket, asio::buffer(beginning), awaitInto(code));
    const std::string piece(pieceBytes, 'a');
    while (!code) {
        co_await asio::async_write(socket, asio::buffer(piece), awaitInto(code));
        co_await pause(pieceInterval);
    }
    co_return false;
}

auto serve(const EndlessServer& server, asio::ip::tcp::socket socket) -> asio::awaitable<void>
{
    std::string received;
    for (auto isUsable = true; isUsable;) {
        boost::system::error_code code;
        const auto headBytes = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", awaitInto(code));
        if (code)
            co_return;
        const auto head = received.substr(0, headBytes);
        const auto length = headerValue(head, "Content-Length");
        const auto messageBytes = headBytes + (length.empty() ? 0 : std::stoul(length));
        while (received.size() < messageBytes && !code)
            co_await asio::async_read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(messageBytes - received.size()), awaitInto(code));
        if (code)
            co_return;
        received.erase(0, messageBytes);
        isUsable = co_await respond(server, socket, head);
    }
}

auto acceptAll(EndlessServer& server) -> asio::awaitable<void>
{
    const auto executor = co_await asio::this_coro::executor;
    for (boost::system::error_code code; !code;) {
        asio::ip::tcp::socket socket(executor);
        co_await server.acceptor.async_accept(socket, awaitInto(code));
        if (!code)
            asio::co_spawn(executor, serve(server, std::move(socket)), asio::detached);
    }
}

}

auto main(int argc, char** argv) -> int
{
    std::string id;
    std::string part;
    const std::vector<CommandOption> options {
        textOption("id", "identifier of the backend server (required)", id),
        textOption("part", "what never ends: head, body or event (required)", part),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "backend server of the platform for the soak, with answers without end", options))
        return static_cast<int>(*code);
    if (id.empty() || (part != "head" && part != "body" && part != "event")) {
        std::cerr << "standin-endless: --id and --part are required\n";
        return static_cast<int>(ExitCode::Usage);
    }
    blockStopSignals();
    IoThreads threads(1);
    const LoopMonitor loopMonitor(threads, printStall);
    EndlessServer server { id, part, { threads.context(0), { asio::ip::make_address("127.0.0.1"), 0 } } };
    const auto bound = server.acceptor.local_endpoint();
    asio::co_spawn(threads.context(0), acceptAll(server), asio::detached);
    printListening({ bound.address().to_string(), bound.port() });
    waitForStop();
    threads.stop();
    return static_cast<int>(ExitCode::Success);
}
