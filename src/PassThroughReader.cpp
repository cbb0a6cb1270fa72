#include "PassThroughReader.h"

#include "ParseNumber.h"

#include <optional>

namespace jayhold {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";

auto parseId(std::string_view text) -> std::optional<std::uint32_t>
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with('\r'))
        text.remove_suffix(1);
    return parseNumber<std::uint32_t>(text);
}

/// @return the value of the event's id line.
auto idOf(std::string_view event) -> std::optional<std::uint32_t>
{
    while (!event.empty()) {
        const auto lineEnd = std::min(event.find('\n'), event.size());
        const auto line = event.substr(0, lineEnd);
        if (line.starts_with(idField))
            return parseId(line.substr(idField.size()));
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
    }
    return std::nullopt;
}

}

auto PassThroughReader::feed(std::string_view chunk) -> void
{
    m_buffer.erase(0, m_position);
    m_position = 0;
    m_buffer += chunk;
}

auto PassThroughReader::next(TokenEvent& event) -> Status
{
    const auto rest = std::string_view(m_buffer).substr(m_position);
    const auto end = rest.find(eventEnd);
    if (end == std::string_view::npos)
        return rest.size() > maxEventBytes ? Status::Malformed : Status::NeedMore;
    const auto text = rest.substr(0, end + eventEnd.size());
    const auto id = idOf(text);
    if (!id)
        return Status::Malformed;
    m_position += text.size();
    event = { .isDone = false, .index = *id, .text = text };
    return Status::Event;
}

auto PassThroughReader::endOfBody(TokenEvent& event) -> Status
{
    if (m_position < m_buffer.size())
        return Status::NeedMore;
    event = { .isDone = true };
    return Status::Event;
}

}
