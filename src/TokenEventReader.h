#pragma once

/// Cuts the body of a decode stream, which arrives in arbitrary pieces, into token events.

#include "TokenEvent.h"

#include <boost/json/parser.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

class TokenEventReader {
public:
    enum class Status {
        /// An event was read.
        Event,
        /// The rest of the next event has not arrived.
        NeedMore,
        /// The engine sent something that is not a token event.
        Malformed,
    };

    /// Adds a piece of the body.
    /// @param piece must stay valid until next() returns NeedMore.
    auto feed(std::string_view piece) -> void;

    /// Reads the next event.
    /// @param event filled in where the status is Event.
    auto next(TokenEvent& event) -> Status;

private:
    auto parse(std::string_view data, TokenEvent& event) -> Status;

    /// Beginning of an event whose end has not arrived; empty while pieces hold whole events.
    std::string m_partial;
    std::string_view m_piece;
    /// Event text that must outlive the call of next().
    std::string m_line;
    std::string m_text;
};

}
