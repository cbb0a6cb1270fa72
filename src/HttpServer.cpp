#include "HttpServer.h"

#include "AwaitToken.h"
#include "ExceptionText.h"
#include "HttpServerConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jayhold {

namespace asio = boost::asio;

struct HttpServer::State {
    State(IoThreads& ioThreads, const HttpServerSettings& serverSettings, HttpHandler serverHandler)
        : threads(ioThreads)
        , shared(std::make_shared<HttpServerSharedState>(serverSettings, std::move(serverHandler)))
        , acceptor(ioThreads.context(0))
    {
    }

    IoThreads& threads;
    /// Connections run on any I/O thread and may outlive the acceptor's thread, so they share ownership
    /// of this object and not of the whole state.
    std::shared_ptr<HttpServerSharedState> shared;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint bound;
};

namespace {

constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
constexpr auto roomCheckInterval = std::chrono::milliseconds(10);

/// @return whether another connection may be accepted.
auto hasRoom(const HttpServerSharedState& shared) -> bool
{
    const auto most = shared.settings.load()->maxConnections;
    return (most == 0 || shared.openConnections < most) && (!shared.requestBudget || shared.requestBudget->hasRoomForHead(connectionBytes));
}

/// Serves an accepted connection on the I/O thread of its socket.
template <typename State>
auto startConnection(State& state, std::size_t index, asio::ip::tcp::socket socket) -> void
{
    auto& shared = state.shared;
    auto onEnd = [shared](const std::exception_ptr& thrown) {
        if (thrown)
            shared->onConnectionClosed({ CloseReason::Exception, nullptr, false, exceptionText(thrown) });
    };
    auto waiting = std::make_unique<ActiveExchange>(shared->waitingConnections);
    auto open = std::make_unique<ActiveExchange>(shared->openConnections);
    asio::co_spawn(state.threads.context(index), serveConnection(shared, std::move(socket), state.threads.client(index), std::move(waiting), std::move(open)), std::move(onEnd));
}

/// Accepts the connections in the listen queue, which the close of the acceptor would reset.
template <typename State>
auto acceptQueued(State& state) -> void
{
    boost::system::error_code code;
    state.acceptor.non_blocking(true, code);
    while (!code && hasRoom(*state.shared)) {
        const auto index = state.threads.nextIndex();
        asio::ip::tcp::socket socket(state.threads.context(index));
        state.acceptor.accept(socket, code);
        if (code == asio::error::connection_aborted)
            code = {};
        else if (!code)
            startConnection(state, index, std::move(socket));
    }
}

/// Further connections wait in the listen queue until others have closed. Unused connections then get less time.
template <typename State>
auto awaitRoom(std::shared_ptr<State> state) -> asio::awaitable<void>
{
    auto& shared = *state->shared;
    const auto most = shared.settings.load()->maxConnections;
    constexpr std::size_t crowdedDivisor = 8;
    if (most == 0 || shared.openConnections < most - most / crowdedDivisor)
        shared.isCrowded = false;
    if (hasRoom(shared))
        co_return;
    shared.onLimitReached("connections");
    if (!shared.isCrowded.exchange(true))
        shared.connections.wakeAll();
    asio::steady_timer timer(state->threads.context(0));
    while (!hasRoom(shared) && state->acceptor.is_open()) {
        boost::system::error_code code;
        timer.expires_after(roomCheckInterval);
        co_await timer.async_wait(awaitInto(code));
    }
}

template <typename State>
auto acceptLoop(std::shared_ptr<State> state) -> asio::awaitable<void>
{
    while (state->acceptor.is_open()) {
        co_await awaitRoom(state);
        const auto index = state->threads.nextIndex();
        asio::ip::tcp::socket socket(state->threads.context(index));
        boost::system::error_code code;
        co_await state->acceptor.async_accept(socket, awaitInto(code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor)
            co_return;
        if (code) {
            // The process is out of file descriptors or the connection was reset. The delay prevents a
            // busy loop.
            asio::steady_timer timer(state->threads.context(0), acceptRetryDelay);
            co_await timer.async_wait(awaitInto(code));
            continue;
        }
        startConnection(*state, index, std::move(socket));
    }
}

}

HttpServer::HttpServer(IoThreads& threads, const HttpServerSettings& settings, HttpHandler handler)
    : m_state(std::make_shared<State>(threads, settings, std::move(handler)))
{
    const asio::ip::tcp::endpoint wanted(asio::ip::make_address(settings.endpoint.address), settings.endpoint.port);
    auto& acceptor = m_state->acceptor;
    acceptor.open(wanted.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(wanted);
    acceptor.listen();
    m_state->bound = acceptor.local_endpoint();
    asio::co_spawn(threads.context(0), acceptLoop(m_state), asio::detached);
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

auto HttpServer::endpoint() const -> HttpEndpoint
{
    return { m_state->bound.address().to_string(), m_state->bound.port() };
}

auto HttpServer::updateLimits(const HttpServerSettings& settings) -> void
{
    m_state->shared->settings.store(std::make_shared<const HttpServerSettings>(settings));
}

auto HttpServer::stopAccepting() -> void
{
    m_state->shared->isDraining = true;
    // The listen queue counts as a waiting connection until it has been emptied.
    ++m_state->shared->waitingConnections;
    asio::post(m_state->threads.context(0), [state = m_state] {
        boost::system::error_code ignored;
        acceptQueued(*state);
        state->acceptor.close(ignored);
        --state->shared->waitingConnections;
    });
}

auto HttpServer::closeIdleConnections() -> void
{
    m_state->shared->isDraining = true;
    m_state->shared->closesIdleConnections = true;
    m_state->shared->connections.wakeAll();
}

auto HttpServer::closeAfterResponses() -> void
{
    m_state->shared->isDraining = true;
}

auto HttpServer::endOpenExchanges() -> void
{
    m_state->shared->exchanges.wakeAll();
}

auto HttpServer::endedExchanges() const -> std::size_t
{
    return m_state->shared->endedExchanges;
}

auto HttpServer::activeExchanges() const -> std::size_t
{
    const auto& shared = *m_state->shared;
    // A connection counts as active before it stops counting as waiting, so it is missed in neither in this order.
    const auto waiting = shared.closesIdleConnections ? shared.waitingConnections.load() : 0;
    return waiting + shared.activeExchanges;
}

}
