#pragma once

/// Distribution of the configuration and the instance list: few instances of a zone watch or poll
/// the platform, the others learn versions from gossip and fetch from a peer that has a higher
/// one. Private to the cluster library.

#include "ClusterCore.h"

namespace jayhold {

/// Watches the configuration while this instance is chosen for it.
auto watchConfiguration(ClusterPointer core) -> boost::asio::awaitable<void>;

/// Polls the instance list while this instance is chosen for it.
auto pollInstances(ClusterPointer core) -> boost::asio::awaitable<void>;

/// Starts fetching whatever a peer has in a higher version.
auto fetchNewerVersions(const ClusterPointer& core, const HttpEndpoint& peer, std::int64_t configurationVersion, std::int64_t listVersion) -> void;

/// Puts a configuration into force if its version is higher; runs on the home thread.
auto activateConfiguration(ClusterCore& core, Configuration configuration) -> void;

/// Tells the callback about the backend servers if they have changed; runs on the home thread.
auto publishBackends(ClusterCore& core) -> void;

/// @return the configuration in a platform object or a peer's answer, or nothing where it is
/// faulty.
auto readConfiguration(const boost::json::value& value) -> std::optional<Configuration>;

}
