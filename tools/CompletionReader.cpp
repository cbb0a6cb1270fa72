#include "CompletionReader.h"

#include <boost/json/parse.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view endMarker = "[DONE]";

/// @return the text of the first choice, or nullptr if the chunk has none.
auto choiceText(const json::object& chunk) -> const json::string*
{
    const auto* choices = chunk.if_contains("choices");
    const auto* list = choices ? choices->if_array() : nullptr;
    const auto* choice = list && !list->empty() ? list->front().if_object() : nullptr;
    const auto* text = choice ? choice->if_contains("text") : nullptr;
    return text ? text->if_string() : nullptr;
}

}

auto parseRefusal(std::string_view body) -> Refusal
{
    boost::system::error_code code;
    const auto value = json::parse(body, code);
    const auto* object = code ? nullptr : value.if_object();
    const auto* found = object ? object->if_contains("error") : nullptr;
    const auto* error = found ? found->if_object() : nullptr;
    Refusal refusal;
    if (!error)
        return refusal;
    if (const auto* ran = error->if_contains("ran"))
        refusal.ran = *ran == "no" ? ExecutionStatus::NotRun : ExecutionStatus::Unknown;
    if (const auto* delay = error->if_contains("retry_after_ms"))
        refusal.retryAfterMilliseconds = delay->to_number<std::int64_t>(code);
    return refusal;
}

auto parseCompletionBody(std::string_view body, std::string& text) -> bool
{
    boost::system::error_code code;
    const auto value = json::parse(body, code);
    const auto* object = code ? nullptr : value.if_object();
    const auto* found = object ? choiceText(*object) : nullptr;
    if (!found)
        return false;
    text = *found;
    return true;
}

auto CompletionReader::append(std::string_view chunk) -> std::int64_t
{
    const auto before = m_tokens;
    m_buffer += chunk;
    std::size_t start = 0;
    for (auto end = m_buffer.find("\n\n"); end != std::string::npos; end = m_buffer.find("\n\n", start)) {
        handleEvent(std::string_view(m_buffer).substr(start, end - start));
        start = end + 2;
    }
    m_buffer.erase(0, start);
    return m_tokens - before;
}

auto CompletionReader::handleEvent(std::string_view event) -> void
{
    if (!event.starts_with(dataPrefix))
        return;
    event.remove_prefix(dataPrefix.size());
    if (event == endMarker) {
        ++m_doneEvents;
        return;
    }
    boost::system::error_code code;
    const auto value = json::parse(event, code);
    const auto* object = code ? nullptr : value.if_object();
    if (!object || object->contains("error")) {
        m_error = event;
        return;
    }
    const auto* text = choiceText(*object);
    if (!text || text->empty())
        return;
    m_text += *text;
    ++m_tokens;
}

}
