#include "PassThroughReader.h"

#include "ParseNumber.h"

#include <algorithm>
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

/// @return whether a line can be part of an event. The head of a response and the text of an error can't.
auto isFieldLine(std::string_view line) -> bool
{
    constexpr std::string_view namesWithoutValue[] = { "data", "id", "event", "retry" };
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return std::ranges::find(namesWithoutValue, line) != std::end(namesWithoutValue);
    return line.substr(0, colon).find_first_of(" /<{\"") == std::string_view::npos;
}

/// @param event without the empty line at its end.
/// @return the value of the event's id line, if all its lines are fields.
auto idOf(std::string_view event) -> std::optional<std::uint32_t>
{
    std::optional<std::uint32_t> id;
    while (!event.empty()) {
        const auto lineEnd = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!isFieldLine(line))
            return std::nullopt;
        if (!id && line.starts_with(idField))
            id = parseId(line.substr(idField.size()));
    }
    return id;
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
    const auto id = idOf(rest.substr(0, end));
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
