#pragma once

/// One event of an engine's decode stream.

#include <cstdint>
#include <string_view>

namespace jayhold {

struct TokenEvent {
    /// Whether this is the last event of the stream.
    bool isDone = false;
    /// Zero-based position of the token in the complete response; for the last event, the number of tokens
    /// of the complete response.
    std::uint32_t index = 0;
    /// Text of the token; valid until the next event is read.
    std::string_view text;
};

}
