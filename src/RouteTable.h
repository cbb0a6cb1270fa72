#pragma once

/// Finds the route of a request by its host and the longest path prefix.

#include "Route.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jayhold {

class RouteTable {
public:
    RouteTable() = default;
    /// @param routes must outlive the table.
    explicit RouteTable(const std::vector<Route>& routes);

    /// @param host lower case, without a port.
    /// @param path without the query.
    /// @return the route, or null.
    auto find(std::string_view host, std::string_view path) const -> const Route*;

private:
    /// By host and prefix.
    std::unordered_map<std::string, const Route*> m_routes;
};

/// Shares the requests of a route out to its targets by weight.
/// @param requestId requests are spread by its hash, so that a test or a log shows why one went where.
/// @return the target's service; empty where the route has none.
auto chooseTarget(const Route& route, std::string_view requestId) -> std::string_view;

}
