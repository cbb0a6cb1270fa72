#include "TokenEventReader.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <limits>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataPrefix = "data: ";
/// Far longer than an event with the text of a token.
constexpr std::size_t maxEventBytes = 1U << 20U;
/// Enough for the parsed form of an ordinary token event, which then needs no heap allocation.
constexpr std::size_t parseBufferBytes = 1'024;

auto readIndex(const json::object& object, std::string_view key) -> std::optional<std::uint32_t>
{
    const auto* value = object.if_contains(key);
    const auto* number = value ? value->if_int64() : nullptr;
    if (!number || *number < 0 || *number > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(*number);
}

}

auto TokenEventReader::feed(std::string_view chunk) -> void
{
    m_chunk = chunk;
}

auto TokenEventReader::next(TokenEvent& event) -> Status
{
    if (!m_partial.empty()) {
        // The event end may be split between the partial event and the chunk.
        const auto searchFrom = m_partial.size() - 1;
        const auto consumedBytes = std::min(m_chunk.find('\n') == std::string_view::npos ? m_chunk.size() : m_chunk.find('\n') + 1, m_chunk.size());
        m_partial += m_chunk.substr(0, consumedBytes);
        m_chunk.remove_prefix(consumedBytes);
        if (m_partial.find(eventEnd, searchFrom) == std::string::npos) {
            if (m_partial.size() > maxEventBytes)
                return Status::Malformed;
            if (m_chunk.empty())
                return Status::NeedMore;
            return next(event);
        }
        m_line = std::exchange(m_partial, {});
        return parse(std::string_view(m_line).substr(0, m_line.size() - eventEnd.size()), event);
    }
    const auto end = m_chunk.find(eventEnd);
    if (end == std::string_view::npos) {
        m_partial = m_chunk;
        m_chunk = {};
        return Status::NeedMore;
    }
    const auto line = m_chunk.substr(0, end);
    m_chunk.remove_prefix(end + eventEnd.size());
    return parse(line, event);
}

auto TokenEventReader::parse(std::string_view line, TokenEvent& event) -> Status
{
    if (!line.starts_with(dataPrefix))
        return Status::Malformed;
    std::array<unsigned char, parseBufferBytes> buffer {};
    json::monotonic_resource resource(buffer.data(), buffer.size());
    boost::system::error_code code;
    const auto value = json::parse(line.substr(dataPrefix.size()), code, &resource);
    const auto* object = code ? nullptr : value.if_object();
    if (!object)
        return Status::Malformed;
    const auto* done = object->if_contains("done");
    event.isDone = done && done->is_bool() && done->get_bool();
    const auto index = readIndex(*object, event.isDone ? "tokens" : "index");
    if (!index)
        return Status::Malformed;
    event.index = *index;
    if (event.isDone)
        return Status::Event;
    const auto* text = object->if_contains("text");
    if (!text || !text->is_string())
        return Status::Malformed;
    m_text.assign(text->get_string());
    event.text = m_text;
    return Status::Event;
}

}
