#pragma once

/// The crash signature of a call that is forwarded unchanged.

#include "HttpRequest.h"

#include <cstdint>
#include <string_view>

namespace jayhold {

/// @param host host that the caller named.
/// @param caller name of the caller; empty if callers are not known.
/// @return a value that is the same at all instances and in all builds, and equal for calls that a backend server can't
/// tell apart. It is never 0, which stands for a call without a signature.
auto callSignature(std::string_view host, std::string_view caller, const HttpRequest& request) -> std::uint64_t;

}
