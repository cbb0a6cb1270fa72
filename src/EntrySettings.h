#pragma once

/// Settings of one entry instance: its name, addresses and limits. What all instances have in common
/// is in the configuration instead.

#include "ConfigError.h"
#include "EntryLimits.h"
#include "EntryTimeouts.h"
#include "HttpEndpoint.h"
#include "LogLine.h"
#include "QuotaLimits.h"

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
    /// Listen address for callers.
    HttpEndpoint listen;
    /// Listen address for peers and operators.
    HttpEndpoint peerListen;
    /// Address at which peers reach this instance; by default the listen address.
    std::optional<HttpEndpoint> peerAdvertise;
    std::vector<HttpEndpoint> platform;
    /// Peers to contact if the platform can't be reached at startup; optional.
    std::vector<HttpEndpoint> seedPeers;
    std::string peerKey;
    /// SHA-256 of operator keys that are accepted in addition to those of the configuration, so that an
    /// operator can apply the first configuration.
    std::vector<std::string> operatorKeysSha256;
    std::size_t threads = 1;
    EntryLimits limits;
    EntryTimeouts timeouts;
    /// Maximum time for open requests to finish after a signal to shut down.
    std::chrono::milliseconds drainTimeout { 330'000 };
    /// Time after that signal in which the load balancer may still send new connections. It probes once
    /// a second and removes an instance after two responses that it is not ready.
    std::chrono::milliseconds deregistrationDelay { 2'600 };
    /// Maximum time until a change in the platform's store takes effect at this instance.
    std::chrono::milliseconds maxPropagationDelay { 2'000 };
    /// Minimum time between the orders of two instances to one engine.
    std::chrono::milliseconds minOrderInterval { 3'000 };
    /// Listen address for the load balancer's readiness probe, if it has its own.
    std::optional<HttpEndpoint> readinessListen;
    /// Listen address for the load messages of peers, which report their reservations on the engines.
    std::optional<HttpEndpoint> loadListen;
    /// Listen address for metrics, if they have their own.
    std::optional<HttpEndpoint> metricsListen;
    /// By how much all instances together may exceed the quotas of customers.
    QuotaLimits quota;
    std::uint64_t seed = 1;
    LogLevel logLevel = LogLevel::Info;
};

/// Parses and validates settings.
/// @return the settings, or ConfigError for the first error found.
auto parseEntrySettings(std::string_view text) -> boost::leaf::result<EntrySettings>;

}
