#pragma once

/// The response to a call that must not run twice, stored for repeats of the request.

#include <string>

namespace jayhold {

struct StoredResponse {
    unsigned status = 0;
    std::string contentType;
    std::string body;

    auto operator==(const StoredResponse&) const -> bool = default;
};

}
