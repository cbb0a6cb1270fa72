#pragma once

/// Cuts the body of a decode stream, which arrives in arbitrary pieces, into token events.

#include "TokenEvent.h"

#include <string_view>

namespace jayhold {

class EventReader {
public:
    enum class Status {
        /// An event was read.
        Event,
        /// The rest of the next event has not arrived.
        NeedMore,
        /// The engine sent something that is not a token event.
        Malformed,
    };

    virtual ~EventReader() = default;

    /// Adds a piece of the body.
    /// @param piece must stay valid until next() returns NeedMore.
    virtual auto feed(std::string_view chunk) -> void = 0;

    /// Reads the next event.
    /// @param event filled in where the status is Event.
    virtual auto next(TokenEvent& event) -> Status = 0;

    /// The body has ended as its framing says.
    /// @param event the last event, where the end of the body is the end of the answer.
    /// @return Event in that case, otherwise NeedMore.
    virtual auto endOfBody(TokenEvent& event) -> Status = 0;
};

}
