#pragma once

/// The answers of the stand-in for a plain service, known in advance to whoever checks them.

#include <string>
#include <string_view>

namespace jayhold {

/// @param target path and query as the service receives them.
/// @return the JSON text that the service answers with.
auto expectedServiceResponse(std::string_view method, std::string_view target, std::string_view body) -> std::string;

}
