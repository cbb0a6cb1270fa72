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
    /// Whether the caller has an event of the stream, so that the record is not corrected any more.
    bool hasBegun = false;

    auto operator==(const StreamRecord&) const -> bool = default;
};

}
