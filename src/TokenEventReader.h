#pragma once

/// Reads the JSON token events of jayhold's own engine interface.

#include "EventReader.h"

#include <boost/json/parser.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

class TokenEventReader final : public EventReader {
public:
    auto feed(std::string_view chunk) -> void override;
    auto next(TokenEvent& event) -> Status override;
    /// These streams have an explicit end event, so a body that ends without it is truncated.
    auto endOfBody(TokenEvent&) -> Status override { return Status::NeedMore; }
    auto bufferBytes() const -> std::size_t override { return m_partial.capacity(); }

private:
    auto parse(std::string_view data, TokenEvent& event) -> Status;

    /// Start of an event whose end has not arrived; empty as long as chunks contain complete events.
    std::string m_partial;
    std::string_view m_chunk;
    /// Event text that must outlive the call of next().
    std::string m_line;
    std::string m_text;
};

}
