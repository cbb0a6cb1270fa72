#pragma once

/// Finds the route of a request by its host and longest matching path prefix.

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

    /// @param host in lower case, without a port.
    /// @param path without the query.
    /// @return the route, or null if none matches.
    auto find(std::string_view host, std::string_view path) const -> const Route*;

private:
    /// Keyed by host followed by path prefix.
    std::unordered_map<std::string, const Route*> m_routes;
};

/// Selects the target of a request, in proportion to the weights of the route's targets.
/// @param requestId its hash selects the target, so that the choice can be reproduced from a log.
/// @return the name of the target service; empty if the route has no targets.
auto chooseTarget(const Route& route, std::string_view requestId) -> std::string_view;

}
