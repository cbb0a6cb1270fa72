#include "LoadExchange.h"

#include "AwaitToken.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Requests run for seconds, so a view of this age misplaces few of them.
constexpr Duration shortestInterval = std::chrono::milliseconds(100);
/// Keeps the datagrams of one instance at about 100 a second, however many instances there are.
constexpr Duration intervalPerPeer = std::chrono::milliseconds(10);
/// What has not changed is told again after this time, because a datagram can be lost.
constexpr Duration longestSilence = std::chrono::milliseconds(800);
constexpr std::size_t largestDatagram = 65'536;

}

struct LoadExchange::State {
    State(IoThreads& ioThreads, const HttpEndpoint& endpoint, std::string instanceName, std::string runName, EventLog& eventLog, LoadExchangeCallbacks exchangeCallbacks)
        : context(ioThreads.context(0))
        , socket(context, asio::ip::udp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port))
        , instance(std::move(instanceName))
        , run(std::move(runName))
        , log(eventLog)
        , callbacks(std::move(exchangeCallbacks))
    {
        socket.non_blocking(true);
    }

    asio::io_context& context;
    asio::ip::udp::socket socket;
    const std::string instance;
    const std::string run;
    EventLog& log;
    const LoadExchangeCallbacks callbacks;
    std::vector<asio::ip::udp::endpoint> peers;
    PeerLoads loads;
    std::uint64_t sequence = 0;
    std::vector<BackendUse> told;
    TimePoint toldAt {};
    std::array<char, largestDatagram> buffer {};
    std::uint64_t unreadable = 0;
};

LoadExchange::LoadExchange(IoThreads& threads, const HttpEndpoint& endpoint, std::string instance, std::string run, EventLog& log, LoadExchangeCallbacks callbacks)
    : m_state(std::make_unique<State>(threads, endpoint, std::move(instance), std::move(run), log, std::move(callbacks)))
{
}

LoadExchange::~LoadExchange() = default;

auto LoadExchange::start() -> void
{
    asio::co_spawn(m_state->context, send(), asio::detached);
    asio::co_spawn(m_state->context, receive(), asio::detached);
}

auto LoadExchange::updatePeers(std::vector<HttpEndpoint> peers) -> void
{
    m_state->peers.clear();
    const auto own = m_state->socket.local_endpoint();
    for (const auto& peer : peers) {
        const asio::ip::udp::endpoint target(asio::ip::make_address(peer.address), peer.port);
        if (target != own)
            m_state->peers.push_back(target);
    }
}

auto LoadExchange::isFirst() const -> bool
{
    const auto& heard = m_state->loads.instances;
    return heard.empty() || m_state->instance < heard.begin()->first;
}

auto LoadExchange::endpoint() const -> HttpEndpoint
{
    const auto local = m_state->socket.local_endpoint();
    return { local.address().to_string(), local.port() };
}

auto LoadExchange::send() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    asio::steady_timer timer(m_state->context);
    while (true) {
        const auto interval = std::max(shortestInterval, intervalPerPeer * static_cast<Duration::rep>(m_state->peers.size()));
        timer.expires_after(interval);
        boost::system::error_code code;
        co_await timer.async_wait(awaitInto(code));
        const auto now = monotonicNow();
        if (dropSilent(m_state->loads, now))
            m_state->callbacks.others(totalUse(m_state->loads));
        tell(now);
    }
}

auto LoadExchange::tell(TimePoint now) -> void
{
    auto& state = *m_state;
    auto uses = state.callbacks.own();
    std::ranges::sort(uses, {}, &BackendUse::backend);
    auto changing = state.callbacks.changing();
    if (uses == state.told && changing.empty() && now - state.toldAt < longestSilence)
        return;
    state.told = uses;
    state.toldAt = now;
    sendTo(printLoadMessage({ state.instance, state.run, ++state.sequence, std::move(uses), std::move(changing) }));
}

auto LoadExchange::sendTo(const std::string& text) -> void
{
    for (const auto& peer : m_state->peers) {
        // A datagram that does not fit into the socket's buffer is as good as lost on the way.
        boost::system::error_code ignored;
        m_state->socket.send_to(asio::buffer(text), peer, 0, ignored);
    }
}

auto LoadExchange::receive() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto& state = *m_state;
    while (true) {
        asio::ip::udp::endpoint sender;
        boost::system::error_code code;
        const auto size = co_await state.socket.async_receive_from(asio::buffer(state.buffer), sender, awaitInto(code));
        if (code == asio::error::operation_aborted)
            co_return;
        // Other errors report that an earlier datagram found no listener.
        if (code)
            continue;
        auto message = parseLoadMessage({ state.buffer.data(), size });
        if (!message) {
            ++state.unreadable;
            state.log.record(LogLevel::Warning, "load_message_unreadable", { { "bytes", size }, { "total", state.unreadable } });
            continue;
        }
        // The store's list of instances lags behind a new one, which knows this one already.
        if (std::ranges::find(state.peers, sender) == state.peers.end())
            state.peers.push_back(sender);
        const auto changing = message->changing;
        if (!takeMessage(state.loads, monotonicNow(), std::move(*message)))
            continue;
        if (!changing.empty())
            state.callbacks.onChanging(changing);
        state.callbacks.others(totalUse(state.loads));
    }
}

}
