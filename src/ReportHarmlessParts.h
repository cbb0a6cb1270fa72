#pragma once

/// Action: report to the peers that parts of a prompt that a crash makes suspicious are harmless.

#include <cstdint>
#include <vector>

namespace jayhold {

struct ReportHarmlessParts {
    std::vector<std::uint64_t> parts;
};

}
