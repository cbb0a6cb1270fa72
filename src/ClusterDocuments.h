#pragma once

/// Distributes the configuration and the instance list. A few instances of each zone watch or poll the
/// platform. The other instances receive version numbers by gossip and fetch the document from a peer
/// that has a higher version. Private to the cluster library.

#include "ClusterCore.h"

namespace jayhold {

/// Watches the configuration while this instance is one of the watchers of its zone.
auto watchConfiguration(ClusterPointer core) -> boost::asio::awaitable<void>;

/// Polls the instance list while this instance is one of the watchers of its zone.
auto pollInstances(ClusterPointer core) -> boost::asio::awaitable<void>;

/// Starts fetching the documents of which a peer has a higher version.
auto fetchNewerVersions(const ClusterPointer& core, const HttpEndpoint& peer, std::int64_t configurationVersion, std::int64_t listVersion) -> void;

/// Activates a configuration if its version is higher. Must be called on the first I/O thread.
auto activateConfiguration(ClusterCore& core, Configuration configuration) -> void;

/// Passes the backend servers to the callback if they have changed. Must be called on the first I/O
/// thread.
auto publishBackends(ClusterCore& core) -> void;

/// @return the configuration in a platform object or a peer's response, or nothing if it is invalid.
auto readConfiguration(const boost::json::value& value) -> std::optional<Configuration>;

}
