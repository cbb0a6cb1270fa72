#pragma once

/// Reads server-sent events that go to the caller as they came. Their ids count the tokens of the
/// answer, and the end of the body is the end of the answer.

#include "EventReader.h"

#include <string>

namespace jayhold {

class PassThroughReader final : public EventReader {
public:
    auto feed(std::string_view chunk) -> void override;
    auto next(TokenEvent& event) -> Status override;
    auto endOfBody(TokenEvent& event) -> Status override;

private:
    /// Largest event; more without an end is not an event stream.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// What was fed and not read, from m_position on.
    std::string m_buffer;
    std::size_t m_position = 0;
};

}
