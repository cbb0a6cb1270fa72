#pragma once

/// What an entry instance has reserved on a backend server, as it tells the others.

#include <cstdint>
#include <string>

namespace jayhold {

struct BackendUse {
    std::string backend;
    std::uint32_t seats = 0;
    std::uint32_t pieces = 0;
    std::uint32_t prefillTokens = 0;

    auto operator==(const BackendUse&) const -> bool = default;
};

}
