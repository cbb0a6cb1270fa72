#pragma once

/// Parses the body of a decode stream, which arrives in chunks of any size, into token events.

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
        /// The engine sent data that is not a token event.
        Malformed,
    };

    virtual ~EventReader() = default;

    /// Adds a chunk of the body.
    /// @param chunk must stay valid until next() returns NeedMore.
    virtual auto feed(std::string_view chunk) -> void = 0;

    /// Reads the next event.
    /// @param event set if the status is Event.
    virtual auto next(TokenEvent& event) -> Status = 0;

    /// Handles the end of the body as given by its HTTP framing.
    /// @param event set to the last event, if the end of the body is the end of the stream.
    /// @return Event in that case, otherwise NeedMore.
    virtual auto endOfBody(TokenEvent& event) -> Status = 0;

    /// @return size of the buffer for events that have not been read completely.
    virtual auto bufferBytes() const -> std::size_t = 0;
};

}
