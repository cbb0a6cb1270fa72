#include "LoadExchange.h"

#include "AwaitToken.h"
#include "Pause.h"
#include "RumorBuffer.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <span>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Requests run for seconds, so a view of this age misplaces few of them.
constexpr Duration shortestInterval = std::chrono::milliseconds(100);
/// Keeps the datagrams of one instance at some 150 a second, however many instances there are.
constexpr Duration intervalPerPeer = std::chrono::milliseconds(6);
/// Most requests are placed within the zone, so the other zones are told less often.
constexpr std::uint64_t farPart = 3;
/// What has not changed is told again after this time, because a datagram can be lost.
constexpr Duration longestSilence = std::chrono::milliseconds(800);
/// A datagram with news of a crash can be lost; regular messages repeat them.
constexpr unsigned crashMessages = 4;
/// News of a crash that come together travel together.
constexpr Duration crashDelay = std::chrono::milliseconds(2);
/// Bounds the size of a message.
constexpr std::size_t crashesPerMessage = 64;
constexpr std::size_t largestDatagram = 65'536;
/// Instances of a zone get each its own copy, over links of 10 Mbit/s on the smallest machines.
constexpr std::size_t largestNews = 16'384;

}

struct LoadExchange::State {
    State(IoThreads& ioThreads, LoadExchangeSettings exchangeSettings, EventLog& eventLog, LoadExchangeCallbacks exchangeCallbacks)
        : settings(std::move(exchangeSettings))
        , context(ioThreads.context(0))
        , socket(context, asio::ip::udp::endpoint(asio::ip::make_address(settings.endpoint.address), settings.endpoint.port))
        , log(eventLog)
        , callbacks(std::move(exchangeCallbacks))
    {
        socket.non_blocking(true);
    }

    /// Sends one datagram to each. One that can't be sent is as good as lost on the way; the next
    /// message makes up for it.
    auto sendToEach(std::span<const asio::ip::udp::endpoint> peers, std::string_view text) -> void
    {
        std::size_t failed = 0;
        boost::system::error_code last;
        for (const auto& peer : peers) {
            boost::system::error_code code;
            socket.send_to(asio::buffer(text), peer, 0, code);
            failed += code ? 1 : 0;
            last = code ? code : last;
        }
        if (failed > 0)
            log.record(LogLevel::Info, "load_message_not_sent", { { "peers", failed }, { "detail", last.message() } });
    }

    const LoadExchangeSettings settings;
    asio::io_context& context;
    asio::ip::udp::socket socket;
    EventLog& log;
    const LoadExchangeCallbacks callbacks;
    std::vector<asio::ip::udp::endpoint> near;
    std::vector<asio::ip::udp::endpoint> far;
    PeerLoads loads;
    std::map<std::string, std::int64_t> revisions;
    /// Whether something changed that the others have not been told.
    bool hasNews = false;
    RumorBuffer<std::uint64_t> signatures { .sendsPerRumor = crashMessages };
    RumorBuffer<CrashSuspect> suspects { .sendsPerRumor = crashMessages };
    /// Whether a message that tells of a crash is about to be sent.
    bool crashMessageDue = false;
    std::uint64_t sequence = 0;
    std::vector<BackendUsage> told;
    TimePoint toldAt {};
    std::array<char, largestDatagram> buffer {};
    std::uint64_t unreadable = 0;
};

LoadExchange::LoadExchange(IoThreads& threads, LoadExchangeSettings settings, EventLog& log, LoadExchangeCallbacks callbacks)
    : m_state(std::make_unique<State>(threads, std::move(settings), log, std::move(callbacks)))
{
}

LoadExchange::~LoadExchange() = default;

auto LoadExchange::start() -> void
{
    const auto self = shared_from_this();
    const auto executor = m_state->context.get_executor();
    spawnSupervised(executor, m_state->log, "send loads", [self] { return self->send(); });
    spawnSupervised(executor, m_state->log, "receive loads", [self] { return self->receive(); });
}

auto LoadExchange::updatePeers(const std::vector<PeerAddress>& peers) -> void
{
    auto& state = *m_state;
    state.near.clear();
    state.far.clear();
    const auto ownUsage = state.socket.local_endpoint();
    for (const auto& peer : peers) {
        const asio::ip::udp::endpoint target(asio::ip::make_address(peer.endpoint.address), peer.endpoint.port);
        if (target != ownUsage)
            (peer.availabilityZone == state.settings.availabilityZone ? state.near : state.far).push_back(target);
    }
}

auto LoadExchange::advanceRevision(const std::string& kind, std::int64_t revision) -> void
{
    auto& known = m_state->revisions[kind];
    if (revision <= known)
        return;
    known = revision;
    m_state->hasNews = true;
}

auto LoadExchange::hasLowestName() const -> bool
{
    const auto& heard = m_state->loads.instances;
    return heard.empty() || m_state->settings.instance < heard.begin()->first;
}

auto LoadExchange::endpoint() const -> HttpEndpoint
{
    const auto local = m_state->socket.local_endpoint();
    return { local.address().to_string(), local.port() };
}

auto LoadExchange::send() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        const auto targets = m_state->near.size() + m_state->far.size() / farPart;
        co_await pause(std::max(shortestInterval, intervalPerPeer * static_cast<Duration::rep>(targets)));
        const auto now = monotonicNow();
        if (removeSilentInstances(m_state->loads, now))
            m_state->callbacks.onPeerUsage(totalUse(m_state->loads));
        sendIfDue(now);
    }
}

auto LoadExchange::sendIfDue(TimePoint now) -> void
{
    auto& state = *m_state;
    auto uses = state.callbacks.ownUsage();
    std::ranges::sort(uses, {}, &BackendUsage::backend);
    auto backendsChangingRole = state.callbacks.backendsChangingRole();
    const auto hasCrashes = !state.signatures.pending.empty() || !state.suspects.pending.empty();
    if (uses == state.told && backendsChangingRole.empty() && !state.hasNews && !hasCrashes && now - state.toldAt < longestSilence)
        return;
    state.told = uses;
    state.toldAt = now;
    state.hasNews = false;
    const LoadMessage message {
        .instance = state.settings.instance,
        .run = state.settings.run,
        .sequence = ++state.sequence,
        .uses = std::move(uses),
        .backendsChangingRole = std::move(backendsChangingRole),
        .signatures = takeRumors(state.signatures, crashesPerMessage),
        .suspects = takeRumors(state.suspects, crashesPerMessage),
        .revisions = state.revisions,
    };
    sendToPeers(serializeLoadMessage(message), hasCrashes);
}

auto LoadExchange::reportSignature(std::uint64_t signature) -> void
{
    reportCrash([signature](State& state) { return addRumor(state.signatures, signature); });
}

auto LoadExchange::reportSuspect(const CrashSuspect& suspect) -> void
{
    reportCrash([suspect](State& state) { return addRumor(state.suspects, suspect); });
}

auto LoadExchange::reportCrash(std::function<bool(State&)> learnNews) -> void
{
    asio::post(m_state->context, [self = shared_from_this(), learnNews = std::move(learnNews)] {
        if (learnNews(*self->m_state))
            asio::co_spawn(self->m_state->context, self->sendCrashReports(), logTaskFailure(self->m_state->log, "tell of crash"));
    });
}

auto LoadExchange::sendCrashReports() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    if (std::exchange(m_state->crashMessageDue, true))
        co_return;
    co_await pause(crashDelay);
    m_state->crashMessageDue = false;
    sendIfDue(monotonicNow());
}

auto LoadExchange::sendToPeers(const std::string& text, bool isForAll) -> void
{
    auto& state = *m_state;
    state.sendToEach(state.near, text);
    // Each message goes to another part of the far instances.
    const auto part = isForAll ? 1 : farPart;
    std::vector<asio::ip::udp::endpoint> turn;
    for (auto index = state.sequence % part; index < state.far.size(); index += part)
        turn.push_back(state.far[index]);
    state.sendToEach(turn, text);
}

auto LoadExchange::sendDirectoryUpdate(const DirectoryUpdate& news) -> void
{
    const auto text = serializeDirectoryUpdate(news);
    // Larger news would not fit a datagram; the regular messages tell the revision, and who lacks it reads the list.
    if (text.size() <= largestNews)
        m_state->sendToEach(m_state->near, text);
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
        if (code) {
            state.log.record(LogLevel::Info, "load_message_not_delivered", { { "detail", code.message() } });
            continue;
        }
        // The store's list of instances lags behind a new one, which knows this one already.
        const auto isKnown = std::ranges::find(state.near, sender) != state.near.end() || std::ranges::find(state.far, sender) != state.far.end();
        if (!isKnown)
            state.far.push_back(sender);
        handleDatagram({ state.buffer.data(), size });
    }
}

auto LoadExchange::handleDatagram(std::string_view text) -> void
{
    if (auto message = parseLoadMessage(text)) {
        handleMessage(std::move(*message));
        return;
    }
    if (const auto news = parseDirectoryUpdate(text)) {
        m_state->callbacks.onDirectoryUpdate(*news);
        return;
    }
    ++m_state->unreadable;
    m_state->log.record(LogLevel::Warning, "load_message_unreadable", { { "bytes", text.size() }, { "total", m_state->unreadable } });
}

auto LoadExchange::handleCrashReports(const LoadMessage& message) -> void
{
    for (const auto signature : message.signatures) {
        if (markKnown(m_state->signatures, signature))
            m_state->callbacks.onSignature(signature);
    }
    for (const auto& suspect : message.suspects) {
        if (markKnown(m_state->suspects, suspect))
            m_state->callbacks.onSuspect(suspect);
    }
}

auto LoadExchange::handleMessage(LoadMessage message) -> void
{
    auto& state = *m_state;
    handleCrashReports(message);
    const auto backendsChangingRole = message.backendsChangingRole;
    const auto revisions = message.revisions;
    if (!applyMessage(state.loads, monotonicNow(), std::move(message)))
        return;
    for (const auto& [kind, revision] : revisions)
        state.callbacks.onRevision(kind, revision);
    if (!backendsChangingRole.empty())
        state.callbacks.onBackendsChangingRole(backendsChangingRole);
    state.callbacks.onPeerUsage(totalUse(state.loads));
}

}
