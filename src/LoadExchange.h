#pragma once

/// Exchanges the reservations on the model engines with the other entry instances by datagrams. The
/// engines' own load reports arrive late and each of them has a cost. A lost datagram is made up for by
/// the next one.

#include "ConnectionLimits.h"
#include "DirectoryUpdate.h"
#include "EventLog.h"
#include "HttpEndpoint.h"
#include "IoThreads.h"
#include "PeerAddress.h"
#include "PeerLoads.h"
#include "PeerPresence.h"
#include "PeerQuestion.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace jayhold {

struct LoadExchangeCallbacks {
    /// @return the current reservations of this instance.
    std::function<std::vector<BackendUsage>()> ownUsage;
    /// An instance has sent a load message.
    std::function<void(const std::string& instance)> onMessage = [](const std::string&) {};
    /// Receives what a new load message says about its sender, and the address that it came from.
    std::function<void(const PeerPresence&, const boost::asio::ip::udp::endpoint& sender)> onPresence = [](const PeerPresence&, const boost::asio::ip::udp::endpoint&) {};
    /// Receives datagrams about quotas.
    std::function<void(std::string_view text, const boost::asio::ip::udp::endpoint& sender)> onQuotaMessage = [](std::string_view, const boost::asio::ip::udp::endpoint&) {};
    /// @return the limits of backend servers that this instance has recently observed.
    std::function<std::vector<LimitReport>()> limitReports = [] { return std::vector<LimitReport>(); };
    /// Receives the limits that a peer has observed.
    std::function<void(const std::vector<LimitReport>&)> onLimitReports = [](const std::vector<LimitReport>&) {};
    /// @return the observed speeds of backend servers that the next message reports.
    std::function<std::vector<SpeedReport>()> speedReports = [] { return std::vector<SpeedReport>(); };
    /// Receives the speeds that a peer has observed.
    std::function<void(const std::string& instance, const std::vector<SpeedReport>&)> onSpeedReports = [](const std::string&, const std::vector<SpeedReport>&) {};
    /// Receives the sum of the peers' reservations.
    std::function<void(const std::vector<BackendUsage>&)> onPeerUsage;
    /// @return backend servers that this instance has recently ordered to change their role.
    std::function<std::vector<std::string>()> backendsChangingRole;
    /// A peer has applied changes of a kind of the store's objects up to a revision.
    std::function<void(const std::string& kind, std::int64_t revision)> onRevision;
    /// A peer has identified a request that crashes backend servers.
    std::function<void(std::uint64_t)> onCrashSignature;
    /// A peer had a request in flight on a backend server that crashed.
    std::function<void(const CrashSuspect&)> onCrashSuspect;
    /// A peer has reported the prompt of a request on a crashed engine, or harmless parts of prompts.
    std::function<void(const PromptReport&)> onPromptReport = [](const PromptReport&) {};
    /// A peer has ordered backend servers to change their role.
    std::function<void(const std::vector<std::string>&)> onBackendsChangingRole;
    /// A peer has replied to a question of askPeers().
    std::function<void(const PeerReply&)> onReply = [](const PeerReply&) {};
    /// A watcher of the zone has sent a directory update.
    std::function<void(const DirectoryUpdate&)> onDirectoryUpdate = [](const DirectoryUpdate&) {};
};

struct LoadExchangeSettings {
    /// Local address that receives the peers' datagrams.
    HttpEndpoint endpoint;
    std::string instance;
    /// Distinguishes successive processes of the instance.
    std::string incarnation;
    std::string availabilityZone;
    /// Maximum number of senders that get messages although the list of instances does not show them.
    std::size_t maxUnlistedPeers = ConnectionLimits().unlistedPeers;
};

class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
    /// @throws boost::system::system_error if the endpoint can't be bound.
    LoadExchange(IoThreads& threads, LoadExchangeSettings settings, EventLog& log, LoadExchangeCallbacks callbacks);
    ~LoadExchange();
    LoadExchange(const LoadExchange&) = delete;
    auto operator=(const LoadExchange&) -> LoadExchange& = delete;

    /// Starts the coroutines on the first I/O thread.
    auto start() -> void;

    /// Replaces the addresses of the peers. Must be called on the first I/O thread.
    auto updatePeers(const std::vector<PeerAddress>& peers) -> void;

    /// Records that this instance has applied changes of a kind of the store's objects up to a revision.
    /// Must be called on the first I/O thread.
    auto advanceRevision(const std::string& kind, std::int64_t revision) -> void;

    /// Records that a revision that was passed to advanceRevision() is wrong. Messages contain none of the kind until the
    /// next one. Must be called on the first I/O thread.
    auto resetRevision(const std::string& kind) -> void;

    /// Sends a directory update to the other instances of the zone. Must be called on the first I/O
    /// thread.
    auto sendDirectoryUpdate(const DirectoryUpdate& update) -> void;

    /// Reports the signature of a request that crashes backend servers to the peers without delay.
    auto reportCrashSignature(std::uint64_t signature) -> void;

    /// Reports a request that was in flight on a crashed backend server to the peers without delay.
    auto reportCrashSuspect(const CrashSuspect& suspect) -> void;

    /// Reports the prompt of a request on a crashed engine, or harmless parts, to the peers without delay.
    auto reportPrompt(const PromptReport& report) -> void;

    /// Asks all peers which changes of the store's objects they have applied. Must be called on the first I/O thread.
    /// @param number number that the replies repeat.
    auto askPeers(std::uint64_t number) -> void;

    /// Sends a datagram to one instance. Must be called on the first I/O thread.
    auto sendTo(const boost::asio::ip::udp::endpoint& target, const std::string& text) -> void;

    /// Tells all peers at once, and from then on in each message, that this instance is draining. Must be called on the
    /// first I/O thread.
    auto announceDraining() -> void;

    /// Must be called on the first I/O thread.
    /// @return whether this instance's name sorts before those of all peers with recent messages.
    auto hasLowestName() const -> bool;

    /// @return the local address that receives datagrams.
    auto endpoint() const -> HttpEndpoint;

    /// @return number of datagrams whose sender was not added to the peers because there were too many. May be called
    /// on any thread.
    auto ignoredPeers() const -> std::uint64_t;

private:
    struct State;

    auto send() -> boost::asio::awaitable<void>;
    auto receive() -> boost::asio::awaitable<void>;
    /// Sends a message to a rotating part of the instances in other zones.
    /// @param isForAllZones whether all of them get the message.
    auto sendToRemotePeers(const std::string& text, bool isForAllZones) -> void;
    /// Sends later messages also to a peer that the list of instances does not show, unless there are too many of them.
    auto addUnlistedPeer(const boost::asio::ip::udp::endpoint& sender) -> void;
    auto handleDatagram(std::string_view text, const boost::asio::ip::udp::endpoint& sender) -> void;
    /// @return whether the datagram was a question of a peer, which gets a reply, or a reply of one.
    auto handleQuestion(std::string_view text, const boost::asio::ip::udp::endpoint& sender) -> bool;
    auto handleMessage(LoadMessage message, const boost::asio::ip::udp::endpoint& sender) -> void;
    /// Sends a load message if something has changed or the last message is older than maxSilence.
    auto sendIfDue(TimePoint now) -> void;
    /// Sends a crash report to the peers without delay if it is new to this instance.
    /// @param addReport stores the report and returns whether it is new.
    auto reportCrash(std::function<bool(State&)> addReport) -> void;
    auto sendCrashReports() -> boost::asio::awaitable<void>;
    /// @return whether crash reports are to be sent, for the first time or again.
    static auto hasCrashReports(const State& state) -> bool;
    auto handleCrashReports(const LoadMessage& message) -> void;

    const std::unique_ptr<State> m_state;
};

}
