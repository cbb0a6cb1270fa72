#pragma once

/// The version of this build.

#include <string_view>

namespace jayhold {

/// @return the version, such as "0.1.0".
auto version() -> std::string_view;

}
