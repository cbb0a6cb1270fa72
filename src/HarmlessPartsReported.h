#pragma once

/// Event: a peer has recently answered requests with these parts of a prompt.

#include <cstdint>
#include <vector>

namespace jayhold {

struct HarmlessPartsReported {
    std::vector<std::uint64_t> parts;
};

}
