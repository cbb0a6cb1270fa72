#pragma once

/// The names under which streams are recorded in the platform's store.

#include <string>
#include <string_view>

namespace jayhold {

/// @param request id of a caller's request, any bytes of any length.
/// @return a short name of ASCII characters for the record of its stream: the id itself if it is one, otherwise a digest.
auto streamRecordKey(std::string_view request) -> std::string;

}
