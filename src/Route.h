#pragma once

/// Which requests of callers go to which service unchanged.

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

/// One of the services that share the requests of a route.
struct RouteTarget {
    std::string service;
    /// Share of the requests, relative to the other targets.
    std::int64_t weight = 1;

    auto operator==(const RouteTarget&) const -> bool = default;
};

struct Route {
    std::string name;
    /// Host that the caller names, without a port.
    std::string host;
    /// Beginning of the path; the longest one that fits selects the route.
    std::string pathPrefix;
    /// Name of the request kind, which each target declares.
    std::string kind;
    std::vector<RouteTarget> targets;

    auto operator==(const Route&) const -> bool = default;
};

}
