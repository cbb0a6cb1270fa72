#pragma once

/// Parses the target of a call to a plain service and finds the kind of the call.

#include "Identifiers.h"
#include "Service.h"

#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

struct PlainRoute {
    std::string service;
    /// Path and query of the request to the backend server.
    std::string target;
};

/// @return the route of `/services/{name}/...`; std::nullopt for other targets.
auto parsePlainRoute(std::string_view target) -> std::optional<PlainRoute>;

/// Whether a path has only one spelling. Kinds are found by path prefix, so a backend server must not
/// interpret a path differently. A path is not canonical if it contains dot segments, empty segments,
/// `\`, `;`, or a percent-encoded `/`, `.`, `\`, `%` or NUL.
auto isCanonicalPath(std::string_view target) -> bool;

/// @return the first kind that matches method and path.
auto findPlainKind(const Service& service, std::string_view method, std::string_view target) -> std::optional<KindId>;

}
