#pragma once

/// The responses of the stand-in for a plain service, computed in advance for verification.

#include <string>
#include <string_view>

namespace jayhold {

/// @param target path and query as the service receives them.
/// @return the JSON body of the service's response.
auto expectedServiceResponse(std::string_view method, std::string_view target, std::string_view body) -> std::string;

}
