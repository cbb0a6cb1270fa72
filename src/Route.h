#pragma once

/// A route: selects the requests that are forwarded unchanged and the services that handle them.

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

/// One of the services among which the requests of a route are split.
struct RouteTarget {
    std::string service;
    /// Share of the requests, relative to the other targets.
    std::int64_t weight = 1;

    auto operator==(const RouteTarget&) const -> bool = default;
};

struct Route {
    std::string name;
    /// Value of the Host header, without a port.
    std::string host;
    /// Path prefix; the longest one that matches selects the route.
    std::string pathPrefix;
    /// Name of the request kind, which each target service must declare.
    std::string kind;
    std::vector<RouteTarget> targets;
    /// Whether requests need no customer's key.
    bool isPublic = false;

    auto operator==(const Route&) const -> bool = default;
};

}
