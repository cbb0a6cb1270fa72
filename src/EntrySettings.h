#pragma once

/// Settings of one entry instance: its name, addresses and limits. Everything that instances
/// share is in the configuration instead.

#include "ConfigError.h"
#include "EntryLimits.h"
#include "EntryTimeouts.h"
#include "HttpEndpoint.h"
#include "LogLine.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct EntrySettings {
    /// Unique among entry instances.
    std::string instance;
    std::string availabilityZone;
    /// Where callers connect.
    HttpEndpoint listen;
    /// Where peers and operators connect.
    HttpEndpoint peerListen;
    /// Address under which peers reach this instance; the one it listens on where absent.
    std::optional<HttpEndpoint> peerAdvertise;
    std::vector<HttpEndpoint> platform;
    /// Peers to ask while the platform can't be reached at the start; optional.
    std::vector<HttpEndpoint> seedPeers;
    std::string peerKey;
    /// SHA-256 of operator keys that are accepted besides those of the configuration, so that the
    /// first configuration can be applied.
    std::vector<std::string> operatorKeysSha256;
    std::size_t threads = 1;
    EntryLimits limits;
    EntryTimeouts timeouts;
    /// Longest time that open requests get to finish after a signal to shut down.
    std::chrono::milliseconds drain { 330'000 };
    /// Time after that signal in which the balancer may still send new connections: it asks once a
    /// second, and leaves an instance out after two answers that it is not ready.
    std::chrono::milliseconds deregistrationDelay { 2'600 };
    /// Time within which a change in the platform's store has to take effect here.
    std::chrono::milliseconds maxPropagationDelay { 2'000 };
    /// Time that must pass between the orders of two instances to one engine.
    std::chrono::milliseconds minOrderInterval { 3'000 };
    /// Where the balancer asks whether the instance is ready, where that is an address of its own.
    std::optional<HttpEndpoint> readinessListen;
    /// Where other instances tell this one what they have reserved on the engines.
    std::optional<HttpEndpoint> loadListen;
    /// Where metrics are served, where that is an address of its own.
    std::optional<HttpEndpoint> metricsListen;
    std::uint64_t seed = 1;
    LogLevel logLevel = LogLevel::Info;
};

/// Parses and checks settings.
/// @return the settings, or ConfigError for the first fault.
auto parseEntrySettings(std::string_view text) -> boost::leaf::result<EntrySettings>;

}
