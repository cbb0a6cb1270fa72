#pragma once

/// Tells the other entry instances what this one has reserved on the model engines, and learns the
/// same of them, by datagrams. Engines report their load late and each report has a price; a lost
/// datagram is made up for by the next.

#include "DirectoryUpdate.h"
#include "EventLog.h"
#include "HttpEndpoint.h"
#include "IoThreads.h"
#include "PeerAddress.h"
#include "PeerLoads.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace jayhold {

struct LoadExchangeCallbacks {
    /// @return what this instance has reserved now.
    std::function<std::vector<BackendUsage>()> ownUsage;
    /// Takes the sum of what the others have reserved.
    std::function<void(const std::vector<BackendUsage>&)> onPeerUsage;
    /// @return backend servers that this instance has lately ordered to change their role.
    std::function<std::vector<std::string>()> backendsChangingRole;
    /// Another instance has taken a change of a kind of the store's objects.
    std::function<void(const std::string& kind, std::int64_t revision)> onRevision;
    /// Another instance has recognised a request that crashes backend servers.
    std::function<void(std::uint64_t)> onSignature;
    /// Another instance had a request in flight on a backend server that crashed.
    std::function<void(const CrashSuspect&)> onSuspect;
    /// Another instance has ordered backend servers to change their role.
    std::function<void(const std::vector<std::string>&)> onBackendsChangingRole;
    /// Another instance of the zone tells of the store's objects.
    std::function<void(const DirectoryUpdate&)> onDirectoryUpdate = [](const DirectoryUpdate&) {};
};

struct LoadExchangeSettings {
    /// Where the datagrams of the others arrive.
    HttpEndpoint endpoint;
    std::string instance;
    /// Tells two runs of the instance's process apart.
    std::string run;
    std::string availabilityZone;
};

class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
    /// @throws boost::system::system_error where the endpoint can't be bound.
    LoadExchange(IoThreads& threads, LoadExchangeSettings settings, EventLog& log, LoadExchangeCallbacks callbacks);
    ~LoadExchange();
    LoadExchange(const LoadExchange&) = delete;
    auto operator=(const LoadExchange&) -> LoadExchange& = delete;

    /// Starts the coroutines, which run on the first I/O thread.
    auto start() -> void;

    /// Replaces the addresses of the other instances; must be called on the first I/O thread.
    auto updatePeers(const std::vector<PeerAddress>& peers) -> void;

    /// This instance has taken a change of a kind of the store's objects; must be called on the first
    /// I/O thread.
    auto advanceRevision(const std::string& kind, std::int64_t revision) -> void;

    /// Tells the other instances of the zone of the store's objects; must be called on the first I/O
    /// thread.
    auto sendDirectoryUpdate(const DirectoryUpdate& news) -> void;

    /// Tells the others at once of a request that crashes backend servers.
    auto reportSignature(std::uint64_t signature) -> void;

    /// Tells the others at once of a request that was in flight on a backend server that crashed.
    auto reportSuspect(const CrashSuspect& suspect) -> void;

    /// @return whether this instance's name comes before those of all others that are heard; must be
    /// called on the first I/O thread.
    auto hasLowestName() const -> bool;

    /// @return where the datagrams arrive.
    auto endpoint() const -> HttpEndpoint;

private:
    struct State;

    auto send() -> boost::asio::awaitable<void>;
    auto receive() -> boost::asio::awaitable<void>;
    /// Sends to the instances of this zone, and to the others where it is their turn or all are to know.
    auto sendToPeers(const std::string& text, bool isForAll) -> void;
    auto handleDatagram(std::string_view text) -> void;
    auto handleMessage(LoadMessage message) -> void;
    /// Sends what has changed, or all of it after a longer pause.
    auto sendIfDue(TimePoint now) -> void;
    /// Tells the others at once, where the news is new to this instance.
    /// @param learnNews takes the news. @return whether it is new.
    auto reportCrash(std::function<bool(State&)> learnNews) -> void;
    auto sendCrashReports() -> boost::asio::awaitable<void>;
    auto handleCrashReports(const LoadMessage& message) -> void;

    const std::unique_ptr<State> m_state;
};

}
