#pragma once

/// Action: report to the peers that parts of a prompt that a crash makes suspicious are sound.

#include <cstdint>
#include <vector>

namespace jayhold {

struct ReportSoundParts {
    std::vector<std::uint64_t> parts;
};

}
