#pragma once

/// The software version that began a stream.

#include <cstdint>
#include <string>

namespace jayhold {

struct StreamRecord {
    std::string service;
    std::string version;
    /// Unix time, for the log only.
    std::int64_t begunAtMs = 0;

    auto operator==(const StreamRecord&) const -> bool = default;
};

}
