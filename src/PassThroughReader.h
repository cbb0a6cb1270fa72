#pragma once

/// Reads server-sent events that are forwarded to the caller unchanged. Their ids count the tokens of the
/// response, and the end of the body is the end of the response.

#include "EventReader.h"

#include <string>

namespace jayhold {

class PassThroughReader final : public EventReader {
public:
    auto feed(std::string_view chunk) -> void override;
    auto next(TokenEvent& event) -> Status override;
    auto endOfBody(TokenEvent& event) -> Status override;
    auto bufferBytes() const -> std::size_t override { return m_buffer.capacity(); }

private:
    /// Maximum size of an event; a longer body without an event end is not an event stream.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// Received data, which is unread from m_position on.
    std::string m_buffer;
    std::size_t m_position = 0;
};

}
