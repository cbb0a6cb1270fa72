#pragma once

/// An entry instance with the native protocols: the HTTP servers for callers and for peers, the
/// cluster node, and the services that route requests to backend servers.

#include "EntrySettings.h"
#include "EventLog.h"
#include "HttpEndpoint.h"

#include <functional>
#include <memory>

namespace jayhold {

class EntryDaemon {
public:
    /// Binds both addresses and starts serving.
    /// @throws boost::system::system_error where an address can't be bound.
    explicit EntryDaemon(EntrySettings settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon&) = delete;
    auto operator=(const EntryDaemon&) -> EntryDaemon& = delete;

    /// @return the address for callers.
    auto endpoint() const -> HttpEndpoint;
    /// @return the address for peers and operators.
    auto peerEndpoint() const -> HttpEndpoint;
    auto log() -> EventLog&;

    /// Starts a graceful shutdown; a second call has no effect. Thread-safe.
    auto startDraining() -> void;

    /// Sets the callback for the end of a graceful shutdown, which runs on an I/O thread. Must be set
    /// before the shutdown starts.
    /// @param callback its argument is true if every open request has ended.
    auto onDrained(std::function<void(bool)> callback) -> void;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

}
