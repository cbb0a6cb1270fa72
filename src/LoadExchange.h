#pragma once

/// Tells the other entry instances what this one has reserved on the model engines, and learns the
/// same of them, by datagrams. Engines report their load late and each report has a price; a lost
/// datagram is made up for by the next.

#include "EventLog.h"
#include "HttpEndpoint.h"
#include "IoThreads.h"
#include "PeerLoads.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace jayhold {

struct LoadExchangeCallbacks {
    /// @return what this instance has reserved now.
    std::function<std::vector<BackendUse>()> own;
    /// Takes the sum of what the others have reserved.
    std::function<void(const std::vector<BackendUse>&)> others;
    /// @return backend servers that this instance has lately ordered to change their role.
    std::function<std::vector<std::string>()> changing;
    /// Another instance has ordered backend servers to change their role.
    std::function<void(const std::vector<std::string>&)> onChanging;
};

class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
    /// @param endpoint where the datagrams of the others arrive.
    /// @throws boost::system::system_error where the endpoint can't be bound.
    LoadExchange(IoThreads& threads, const HttpEndpoint& endpoint, std::string instance, std::string run, EventLog& log, LoadExchangeCallbacks callbacks);
    ~LoadExchange();
    LoadExchange(const LoadExchange&) = delete;
    auto operator=(const LoadExchange&) -> LoadExchange& = delete;

    /// Starts the coroutines, which run on the first I/O thread.
    auto start() -> void;

    /// Replaces the addresses of the other instances; must be called on the first I/O thread.
    auto updatePeers(std::vector<HttpEndpoint> peers) -> void;

    /// @return whether this instance's name comes before those of all others that are heard; must be
    /// called on the first I/O thread.
    auto isFirst() const -> bool;

    /// @return where the datagrams arrive.
    auto endpoint() const -> HttpEndpoint;

private:
    struct State;

    auto send() -> boost::asio::awaitable<void>;
    auto receive() -> boost::asio::awaitable<void>;
    auto sendTo(const std::string& text) -> void;
    /// Sends what has changed, or all of it after a longer pause.
    auto tell(TimePoint now) -> void;

    const std::unique_ptr<State> m_state;
};

}
