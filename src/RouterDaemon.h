#pragma once

/// An entry instance that forwards requests unchanged and reads its configuration and the list of
/// backend servers from the platform's store. It has no cluster node: instances share state through the
/// store and, if a load address is set, through load messages.

#include "BackendProtocol.h"
#include "CallerProtocol.h"
#include "ConnectionLimits.h"
#include "EntrySettings.h"
#include "EventLog.h"
#include "ObjectStore.h"
#include "StoreDirectory.h"

#include <functional>
#include <memory>

namespace jayhold {

/// The platform-specific components that a RouterDaemon needs.
struct PlatformAdapter {
    const CallerProtocol& callerProtocol;
    const BackendProtocol& backendProtocol;
    std::unique_ptr<ObjectStore> store;
    DirectoryFormat directory;
    ConnectionLimits limits {};
};

class RouterDaemon {
public:
    /// Binds the addresses and starts serving.
    /// @throws boost::system::system_error where an address can't be bound.
    RouterDaemon(EntrySettings settings, PlatformAdapter adapter);
    ~RouterDaemon();
    RouterDaemon(const RouterDaemon&) = delete;
    auto operator=(const RouterDaemon&) -> RouterDaemon& = delete;

    /// @return the address for callers.
    auto endpoint() const -> HttpEndpoint;
    /// @return the address for the load balancer's readiness probe.
    auto readinessEndpoint() const -> HttpEndpoint;
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
