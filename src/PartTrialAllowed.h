#pragma once

/// Event: this instance may run one request with a blocked prompt part.

#include <cstdint>

namespace jayhold {

struct PartTrialAllowed {
    std::uint64_t part;
};

}
