#include "RouteTable.h"

#include <functional>

namespace jayhold {

namespace {

auto keyOf(std::string_view host, std::string_view prefix) -> std::string
{
    std::string key(host);
    key += prefix;
    return key;
}

}

RouteTable::RouteTable(const std::vector<Route>& routes)
{
    for (const auto& route : routes)
        m_routes.try_emplace(keyOf(route.host, route.pathPrefix), &route);
}

auto RouteTable::find(std::string_view host, std::string_view path) const -> const Route*
{
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        if (const auto found = m_routes.find(keyOf(host, path.substr(0, end + 1))); found != m_routes.end())
            return found->second;
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

auto chooseTarget(const Route& route, std::string_view requestId) -> std::string_view
{
    std::int64_t total = 0;
    for (const auto& target : route.targets)
        total += target.weight;
    if (total <= 0)
        return route.targets.empty() ? std::string_view() : std::string_view(route.targets.front().service);
    auto position = static_cast<std::int64_t>(std::hash<std::string_view>()(requestId) % static_cast<std::uint64_t>(total));
    for (const auto& target : route.targets) {
        position -= target.weight;
        if (position < 0)
            return target.service;
    }
    return route.targets.back().service;
}

}
