#pragma once

/// An entry instance that forwards requests unchanged and takes its configuration and the list of
/// backend servers from the platform's store. It has no peers: what instances share is in the store.

#include "BackendProtocol.h"
#include "CallerProtocol.h"
#include "EntrySettings.h"
#include "EventLog.h"
#include "ObjectStore.h"
#include "StoreDirectory.h"

#include <functional>
#include <memory>

namespace jayhold {

/// What an adapter to a platform provides.
struct PlatformAdapter {
    const CallerProtocol& callers;
    const BackendProtocol& backends;
    std::unique_ptr<ObjectStore> store;
    DirectoryFormat directory;
};

class RouterDaemon {
public:
    /// Binds the addresses and starts to serve.
    /// @throws boost::system::system_error where an address can't be bound.
    RouterDaemon(EntrySettings settings, PlatformAdapter parts);
    ~RouterDaemon();
    RouterDaemon(const RouterDaemon&) = delete;
    auto operator=(const RouterDaemon&) -> RouterDaemon& = delete;

    /// @return the address for callers.
    auto endpoint() const -> HttpEndpoint;
    /// @return the address for the balancer's question whether the instance is ready.
    auto readinessEndpoint() const -> HttpEndpoint;
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
