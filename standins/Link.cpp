#include "Link.h"

#include "BandwidthLimiter.h"
#include "CoroutineSleep.h"
#include "JsonBody.h"
#include "LinkFaults.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace jayhold::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct RelayedConnection {
    explicit RelayedConnection(asio::io_context& context)
        : caller(context)
        , target(context)
    {
    }

    /// Makes close() reset both connections.
    auto resetOnClose() -> void
    {
        boost::system::error_code ignored;
        caller.set_option(asio::socket_base::linger(true, 0), ignored);
        target.set_option(asio::socket_base::linger(true, 0), ignored);
    }

    auto close() -> void
    {
        boost::system::error_code ignored;
        caller.close(ignored);
        target.close(ignored);
    }

    tcp::socket caller;
    tcp::socket target;
};

auto toTcp(const HttpEndpoint& endpoint) -> tcp::endpoint
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

}

struct LinkState {
    LinkState(asio::io_context& ioContext, const LinkSettings& settings)
        : context(ioContext)
        , acceptor(ioContext, toTcp(settings.listen))
        , target(toTcp(settings.target))
    {
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    const tcp::endpoint target;
    LinkFaults faults;
    std::vector<std::weak_ptr<RelayedConnection>> connections;
};

namespace {

using LinkPointer = std::shared_ptr<LinkState>;
using ConnectionPointer = std::shared_ptr<RelayedConnection>;

constexpr std::size_t chunkBytes = 16'384;

/// Relays one direction until either side closes. The delays of the chunks of a burst add up, because
/// each chunk is forwarded before the next is read.
auto relay(LinkPointer state, ConnectionPointer connection, tcp::socket& from, tcp::socket& to) -> asio::awaitable<void>
{
    std::vector<char> chunk(chunkBytes);
    boost::system::error_code code;
    while (!code) {
        const auto size = co_await from.async_read_some(asio::buffer(chunk), awaitInto(code));
        const auto isResponse = &from == &connection->target;
        while ((state->faults.stall || (isResponse && state->faults.stallResponses)) && from.is_open())
            co_await sleepFor(faultPollInterval);
        const auto& faults = state->faults;
        if (faults.delayMicroseconds > 0)
            co_await sleepFor(Duration(faults.delayMicroseconds));
        if (faults.bytesPerSecond > 0) {
            BandwidthLimiter rate(faults.bytesPerSecond);
            co_await sleepUntil(rate.schedule(static_cast<double>(size), monotonicNow()));
        }
        boost::system::error_code writeCode;
        if (size > 0)
            co_await asio::async_write(to, asio::buffer(chunk.data(), size), awaitInto(writeCode));
        if (writeCode)
            code = writeCode;
    }
    connection->close();
}

auto connectAndRelay(LinkPointer state, ConnectionPointer connection) -> asio::awaitable<void>
{
    boost::system::error_code code;
    co_await connection->target.async_connect(state->target, awaitInto(code));
    if (code) {
        connection->close();
        co_return;
    }
    connection->caller.set_option(tcp::no_delay(true), code);
    connection->target.set_option(tcp::no_delay(true), code);
    asio::co_spawn(state->context, relay(state, connection, connection->caller, connection->target), asio::detached);
    asio::co_spawn(state->context, relay(state, connection, connection->target, connection->caller), asio::detached);
}

auto acceptLoop(LinkPointer state) -> asio::awaitable<void>
{
    while (true) {
        auto connection = std::make_shared<RelayedConnection>(state->context);
        boost::system::error_code code;
        co_await state->acceptor.async_accept(connection->caller, awaitInto(code));
        if (code)
            co_await sleepFor(std::chrono::milliseconds(50));
        if (code || state->faults.cut)
            continue;
        std::erase_if(state->connections, [](const auto& item) { return item.expired(); });
        state->connections.push_back(connection);
        asio::co_spawn(state->context, connectAndRelay(state, std::move(connection)), asio::detached);
    }
}

auto closeConnections(LinkState& state) -> void
{
    for (const auto& item : state.connections) {
        const auto connection = item.lock();
        if (connection && state.faults.reset)
            connection->resetOnClose();
        if (connection)
            connection->close();
    }
    state.connections.clear();
}

auto adminResponse(LinkState& state, const HttpRequest& request) -> HttpResponse
{
    if (request.method != "PUT" || request.target != "/admin/faults")
        return notRunResponse(404, "no_such_route");
    std::string errorMessage;
    const auto read = [&](JsonReader& reader) { return readLinkFaults(reader, state.faults); };
    const auto faults = readJsonBody<LinkFaults>(request.body, errorMessage, read);
    if (!faults)
        return notRunResponse(400, "bad_request", errorMessage);
    state.faults = *faults;
    if (state.faults.cut || state.faults.reset)
        closeConnections(state);
    return jsonResponse(200, "{}");
}

auto handleAdmin(LinkPointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    co_await exchange.respond(adminResponse(*state, exchange.request()));
}

auto adminSettings(const LinkSettings& settings) -> HttpServerSettings
{
    HttpServerSettings result;
    result.endpoint = settings.adminListen;
    return result;
}

}

Link::Link(IoThreads& threads, const LinkSettings& settings)
    : m_state(std::make_shared<LinkState>(threads.context(0), settings))
    , m_admin(threads, adminSettings(settings), [state = m_state](HttpExchange& exchange) { return handleAdmin(state, exchange); })
{
    asio::co_spawn(threads.context(0), acceptLoop(m_state), asio::detached);
}

auto Link::endpoint() const -> HttpEndpoint
{
    const auto bound = m_state->acceptor.local_endpoint();
    return { bound.address().to_string(), bound.port() };
}

}
