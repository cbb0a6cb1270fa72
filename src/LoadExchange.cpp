#include "LoadExchange.h"

#include "AwaitToken.h"
#include "Pause.h"
#include "QuotaMessage.h"
#include "RumorBuffer.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <span>
#include <utility>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Requests run for seconds, so placements based on usage of this age are rarely wrong.
constexpr Duration minInterval = std::chrono::milliseconds(100);
/// Limits the datagrams of one instance to about 150 per second for any number of instances.
constexpr Duration intervalPerPeer = std::chrono::milliseconds(6);
/// A regular message goes to one in this many remote peers: most requests are placed within the zone.
constexpr std::uint64_t remotePeerDivisor = 3;
/// Unchanged usage is sent again after this time, because a datagram can be lost.
constexpr Duration maxSilence = std::chrono::milliseconds(800);
/// Messages that carry a crash report. It is sent repeatedly because a datagram can be lost.
constexpr unsigned sendsPerCrashReport = 4;
/// Collects crash reports that arrive at nearly the same time into one message.
constexpr Duration crashReportDelay = std::chrono::milliseconds(2);
/// Limits the size of a message.
constexpr std::size_t maxCrashReportsPerMessage = 64;
/// With maxReportedParts in each report, these take half of a datagram.
constexpr std::size_t maxPromptReportsPerMessage = 32;
constexpr std::size_t maxDatagramBytes = 65'536;
/// Every instance of a zone gets its own copy, and the smallest machines have links of 10 Mbit/s.
constexpr std::size_t maxDirectoryUpdateBytes = 16'384;

/// @return whether the reports differ in nothing but their ages.
auto sameLimits(std::span<const LimitReport> left, std::span<const LimitReport> right) -> bool
{
    return std::ranges::equal(left, right, [](const LimitReport& first, const LimitReport& second) {
        return first.backend == second.backend && first.incarnation == second.incarnation && first.perSecond == second.perSecond;
    });
}

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

    /// Sends one datagram to each peer. A datagram that can't be sent counts as lost, and the next
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
    /// Peers in this instance's zone.
    std::vector<asio::ip::udp::endpoint> zonePeers;
    /// Peers in other zones.
    std::vector<asio::ip::udp::endpoint> remotePeers;
    /// Peers among them that the list of instances did not show.
    std::size_t unlistedPeers = 0;
    std::atomic<std::uint64_t> ignoredPeers { 0 };
    PeerLoads loads;
    std::map<std::string, std::int64_t> revisions;
    /// Whether revisions have advanced since the last message.
    bool hasNewRevisions = false;
    RumorBuffer<std::uint64_t> signatures { .sendsPerRumor = sendsPerCrashReport };
    RumorBuffer<CrashSuspect> suspects { .sendsPerRumor = sendsPerCrashReport };
    RumorBuffer<PromptReport> promptReports { .sendsPerRumor = sendsPerCrashReport };
    bool isDraining = false;
    /// Whether the next message has to say so to all peers.
    bool hasNewDraining = false;
    /// Whether a message with crash reports is scheduled.
    bool crashMessageDue = false;
    std::uint64_t sequence = 0;
    /// Usages and limits in the last message that was sent.
    std::vector<BackendUsage> sentUsages;
    std::vector<LimitReport> sentLimits;
    TimePoint sentAt {};
    std::array<char, maxDatagramBytes> buffer {};
    std::uint64_t unreadableDatagrams = 0;
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
    state.zonePeers.clear();
    state.remotePeers.clear();
    state.unlistedPeers = 0;
    const auto ownEndpoint = state.socket.local_endpoint();
    for (const auto& peer : peers) {
        boost::system::error_code code;
        const asio::ip::udp::endpoint target(asio::ip::make_address(peer.endpoint.address, code), peer.endpoint.port);
        if (code || target.port() == 0) {
            state.log.record(LogLevel::Warning, "peer_address_invalid", { { "address", toString(peer.endpoint) } });
            continue;
        }
        if (target != ownEndpoint)
            (peer.availabilityZone == state.settings.availabilityZone ? state.zonePeers : state.remotePeers).push_back(target);
    }
}

auto LoadExchange::advanceRevision(const std::string& kind, std::int64_t revision) -> void
{
    auto& known = m_state->revisions[kind];
    if (revision <= known)
        return;
    known = revision;
    m_state->hasNewRevisions = true;
}

auto LoadExchange::resetRevision(const std::string& kind) -> void
{
    m_state->revisions.erase(kind);
}

auto LoadExchange::hasLowestName() const -> bool
{
    const auto& peers = m_state->loads.instances;
    return peers.empty() || m_state->settings.instance < peers.begin()->first;
}

auto LoadExchange::endpoint() const -> HttpEndpoint
{
    const auto local = m_state->socket.local_endpoint();
    return { local.address().to_string(), local.port() };
}

auto LoadExchange::ignoredPeers() const -> std::uint64_t
{
    return m_state->ignoredPeers;
}

auto LoadExchange::send() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        const auto targets = m_state->zonePeers.size() + m_state->remotePeers.size() / remotePeerDivisor;
        co_await pause(std::max(minInterval, intervalPerPeer * static_cast<Duration::rep>(targets)));
        const auto now = monotonicNow();
        if (removeSilentInstances(m_state->loads, now))
            m_state->callbacks.onPeerUsage(totalUsage(m_state->loads));
        sendIfDue(now);
    }
}

auto LoadExchange::sendIfDue(TimePoint now) -> void
{
    auto& state = *m_state;
    auto limits = state.callbacks.limitReports();
    const auto hasNewLimits = !sameLimits(limits, state.sentLimits);
    auto usages = state.callbacks.ownUsage();
    std::ranges::sort(usages, {}, &BackendUsage::backend);
    auto backendsChangingRole = state.callbacks.backendsChangingRole();
    const auto sendsCrashReports = hasCrashReports(state);
    if (usages == state.sentUsages && backendsChangingRole.empty() && !state.hasNewRevisions && !state.hasNewDraining && !sendsCrashReports && !hasNewLimits && now - state.sentAt < maxSilence)
        return;
    state.sentUsages = usages;
    state.sentLimits = limits;
    state.sentAt = now;
    state.hasNewRevisions = false;
    const auto isForAllZones = std::exchange(state.hasNewDraining, false) || sendsCrashReports;
    LoadMessage message {
        .instance = state.settings.instance,
        .incarnation = state.settings.incarnation,
        .sequence = ++state.sequence,
        .usages = std::move(usages),
        .backendsChangingRole = std::move(backendsChangingRole),
        .limits = std::move(limits),
        .speeds = state.callbacks.speedReports(),
        .signatures = takeRumors(state.signatures, maxCrashReportsPerMessage),
        .suspects = takeRumors(state.suspects, maxCrashReportsPerMessage),
        .promptReports = takeRumors(state.promptReports, maxPromptReportsPerMessage),
        .revisions = state.revisions,
        .availabilityZone = state.settings.availabilityZone,
        .isDraining = state.isDraining,
    };
    state.sendToEach(state.zonePeers, serializeLoadMessage(message));
    // Most requests stay in their zone, and bytes between zones have a cost.
    message.speeds.clear();
    sendToRemotePeers(serializeLoadMessage(message), isForAllZones);
}

auto LoadExchange::hasCrashReports(const State& state) -> bool
{
    return !state.signatures.pending.empty() || !state.suspects.pending.empty() || !state.promptReports.pending.empty();
}

auto LoadExchange::reportCrashSignature(std::uint64_t signature) -> void
{
    reportCrash([signature](State& state) { return addRumor(state.signatures, signature); });
}

auto LoadExchange::reportCrashSuspect(const CrashSuspect& suspect) -> void
{
    reportCrash([suspect](State& state) { return addRumor(state.suspects, suspect); });
}

auto LoadExchange::reportPrompt(const PromptReport& report) -> void
{
    reportCrash([report](State& state) { return addRumor(state.promptReports, report); });
}

auto LoadExchange::reportCrash(std::function<bool(State&)> addReport) -> void
{
    asio::post(m_state->context, [self = shared_from_this(), addReport = std::move(addReport)] {
        if (addReport(*self->m_state))
            asio::co_spawn(self->m_state->context, self->sendCrashReports(), logTaskFailure(self->m_state->log, "send crash reports"));
    });
}

auto LoadExchange::sendCrashReports() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    if (std::exchange(m_state->crashMessageDue, true))
        co_return;
    co_await pause(crashReportDelay);
    m_state->crashMessageDue = false;
    sendIfDue(monotonicNow());
}

auto LoadExchange::sendToRemotePeers(const std::string& text, bool isForAllZones) -> void
{
    auto& state = *m_state;
    // Successive messages go to different parts of the remote peers.
    const auto stride = isForAllZones ? 1 : remotePeerDivisor;
    std::vector<asio::ip::udp::endpoint> selected;
    for (auto index = state.sequence % stride; index < state.remotePeers.size(); index += stride)
        selected.push_back(state.remotePeers[index]);
    state.sendToEach(selected, text);
}

auto LoadExchange::sendTo(const asio::ip::udp::endpoint& target, const std::string& text) -> void
{
    m_state->sendToEach(std::span(&target, 1), text);
}

auto LoadExchange::announceDraining() -> void
{
    m_state->isDraining = true;
    m_state->hasNewDraining = true;
    sendIfDue(monotonicNow());
}

auto LoadExchange::sendDirectoryUpdate(const DirectoryUpdate& update) -> void
{
    const auto text = serializeDirectoryUpdate(update);
    // Larger updates are not sent. Regular messages carry the revision, and instances lacking it read the list.
    if (text.size() <= maxDirectoryUpdateBytes)
        m_state->sendToEach(m_state->zonePeers, text);
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
        // Other errors report that an earlier datagram reached an address without a listener.
        if (code) {
            state.log.record(LogLevel::Info, "load_message_not_delivered", { { "detail", code.message() } });
            continue;
        }
        // A new instance may send before the store's list of instances shows it here.
        const auto isKnown = std::ranges::find(state.zonePeers, sender) != state.zonePeers.end() || std::ranges::find(state.remotePeers, sender) != state.remotePeers.end();
        if (!isKnown)
            addUnlistedPeer(sender);
        handleDatagram({ state.buffer.data(), size }, sender);
    }
}

auto LoadExchange::addUnlistedPeer(const asio::ip::udp::endpoint& sender) -> void
{
    auto& state = *m_state;
    if (state.unlistedPeers >= state.settings.maxUnlistedPeers) {
        ++state.ignoredPeers;
        state.log.record(LogLevel::Info, "unlisted_peer_ignored", { { "limit", state.settings.maxUnlistedPeers }, { "total", state.ignoredPeers.load() } });
        return;
    }
    ++state.unlistedPeers;
    state.remotePeers.push_back(sender);
    // It has missed the messages that carried the pending crash reports.
    if (hasCrashReports(state))
        asio::co_spawn(state.context, sendCrashReports(), logTaskFailure(state.log, "send crash reports"));
}

auto LoadExchange::handleDatagram(std::string_view text, const asio::ip::udp::endpoint& sender) -> void
{
    if (isQuotaMessage(text)) {
        m_state->callbacks.onQuotaMessage(text, sender);
        return;
    }
    if (auto message = parseLoadMessage(text)) {
        handleMessage(std::move(*message), sender);
        return;
    }
    if (const auto update = parseDirectoryUpdate(text)) {
        m_state->callbacks.onDirectoryUpdate(*update);
        return;
    }
    if (handleQuestion(text, sender))
        return;
    ++m_state->unreadableDatagrams;
    m_state->log.record(LogLevel::Info, "load_message_unreadable", { { "bytes", text.size() }, { "total", m_state->unreadableDatagrams } });
}

auto LoadExchange::askPeers(std::uint64_t number) -> void
{
    const auto text = serializeQuestion({ number, m_state->settings.incarnation });
    m_state->sendToEach(m_state->zonePeers, text);
    m_state->sendToEach(m_state->remotePeers, text);
}

auto LoadExchange::handleQuestion(std::string_view text, const asio::ip::udp::endpoint& sender) -> bool
{
    auto& state = *m_state;
    if (const auto question = parseQuestion(text)) {
        state.sendToEach(std::span(&sender, 1), serializeReply({ *question, state.settings.instance, state.revisions }));
        return true;
    }
    const auto reply = parseReply(text);
    if (reply && reply->question.run == state.settings.incarnation)
        state.callbacks.onReply(*reply);
    return reply.has_value();
}

auto LoadExchange::handleCrashReports(const LoadMessage& message) -> void
{
    for (const auto signature : message.signatures) {
        if (markKnown(m_state->signatures, signature))
            m_state->callbacks.onCrashSignature(signature);
    }
    for (const auto& suspect : message.suspects) {
        if (markKnown(m_state->suspects, suspect))
            m_state->callbacks.onCrashSuspect(suspect);
    }
    for (const auto& report : message.promptReports) {
        if (markKnown(m_state->promptReports, report))
            m_state->callbacks.onPromptReport(report);
    }
}

auto LoadExchange::handleMessage(LoadMessage message, const asio::ip::udp::endpoint& sender) -> void
{
    auto& state = *m_state;
    state.callbacks.onMessage(message.instance);
    handleCrashReports(message);
    const auto backendsChangingRole = message.backendsChangingRole;
    const auto revisions = message.revisions;
    const auto limits = message.limits;
    const auto speeds = message.speeds;
    const auto instance = message.instance;
    const PeerPresence presence { message.instance, message.availabilityZone, message.isDraining };
    if (!applyMessage(state.loads, monotonicNow(), std::move(message)))
        return;
    state.callbacks.onPresence(presence, sender);
    for (const auto& [kind, revision] : revisions)
        state.callbacks.onRevision(kind, revision);
    if (!limits.empty())
        state.callbacks.onLimitReports(limits);
    if (!speeds.empty())
        state.callbacks.onSpeedReports(instance, speeds);
    if (!backendsChangingRole.empty())
        state.callbacks.onBackendsChangingRole(backendsChangingRole);
    state.callbacks.onPeerUsage(totalUsage(state.loads));
}

}
