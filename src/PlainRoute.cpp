#include "PlainRoute.h"

#include "LowerCase.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr std::string_view routePrefix = "/services/";

auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto hasAmbiguousEscape(std::string_view path) -> bool
{
    for (auto position = path.find('%'); position != std::string_view::npos; position = path.find('%', position + 1)) {
        const auto code = lowerCase(path.substr(position + 1, 2));
        if (code.size() < 2 || code == "2f" || code == "2e" || code == "5c" || code == "25" || code == "00")
            return true;
    }
    return false;
}

auto hasPathPrefix(std::string_view path, std::string_view prefix) -> bool
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.empty() || prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

}

auto parsePlainRoute(std::string_view target) -> std::optional<PlainRoute>
{
    if (!target.starts_with(routePrefix))
        return std::nullopt;
    target.remove_prefix(routePrefix.size());
    const auto nameEnd = std::min(target.find_first_of("/?"), target.size());
    if (nameEnd == 0)
        return std::nullopt;
    auto rest = std::string(target.substr(nameEnd));
    if (!rest.starts_with('/'))
        rest.insert(rest.begin(), '/');
    return PlainRoute { std::string(target.substr(0, nameEnd)), std::move(rest) };
}

auto isCanonicalPath(std::string_view target) -> bool
{
    const auto path = pathOf(target);
    if (!path.starts_with('/') || path.find('\\') != std::string_view::npos || path.find(';') != std::string_view::npos || hasAmbiguousEscape(path))
        return false;
    auto rest = path.substr(1);
    while (true) {
        const auto end = std::min(rest.find('/'), rest.size());
        const auto segment = rest.substr(0, end);
        const auto isLast = end == rest.size();
        if (segment == "." || segment == ".." || (segment.empty() && !isLast))
            return false;
        if (isLast)
            return true;
        rest.remove_prefix(end + 1);
    }
}

auto findPlainKind(const Service& service, std::string_view method, std::string_view target) -> std::optional<KindId>
{
    const auto path = pathOf(target);
    for (std::size_t index = 0; index < service.kinds.size(); ++index) {
        const auto& kind = service.kinds[index];
        const auto hasMethod = kind.methods.empty() || std::ranges::find(kind.methods, method) != kind.methods.end();
        if (hasMethod && hasPathPrefix(path, kind.pathPrefix))
            return static_cast<KindId>(index);
    }
    return std::nullopt;
}

}
