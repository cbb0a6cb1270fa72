#pragma once

/// The answer of a call that must not run twice, stored for repeats of the request.

#include <string>

namespace jayhold {

struct StoredAnswer {
    unsigned status = 0;
    std::string contentType;
    std::string body;

    auto operator==(const StoredAnswer&) const -> bool = default;
};

}
