#pragma once

/// An entry instance: the servers for callers and for peers, and everything between callers and
/// backend servers.

#include "EntrySettings.h"
#include "EventLog.h"
#include "HttpEndpoint.h"

#include <functional>
#include <memory>

namespace jayhold {

class EntryDaemon {
public:
    /// Binds both addresses and starts to serve.
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

    /// Begins a graceful shutdown; a second call changes nothing. Thread-safe.
    auto startDraining() -> void;

    /// Calls back on an I/O thread when a shutdown is complete. Must be set before it begins.
    /// @param callback gets whether every open request has ended.
    auto onDrained(std::function<void(bool)> callback) -> void;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

}
