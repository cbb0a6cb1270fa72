#pragma once

/// Takes the target of a call to a plain service apart and finds the kind of the call.

#include "Identifiers.h"
#include "Service.h"

#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

struct PlainRoute {
    std::string service;
    /// Path with its query, as the backend server gets it.
    std::string target;
};

/// @return the route of `/services/{name}/...`; nothing for another target.
auto parsePlainRoute(std::string_view target) -> std::optional<PlainRoute>;

/// Whether a path has one spelling only. A kind is found by path prefix, so a backend server must
/// not read a path otherwise than the prefix does: dot segments, empty segments and escaped
/// characters that stand for `/`, `.` or `\` are not canonical.
auto isCanonicalPath(std::string_view target) -> bool;

/// @return the first kind that matches method and path.
auto findPlainKind(const Service& service, std::string_view method, std::string_view target) -> std::optional<KindId>;

}
