#include "JsonElements.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr std::string_view whitespace = " \t\n\r";

auto skipWhitespace(std::string_view& rest) -> void
{
    rest.remove_prefix(std::min(rest.find_first_not_of(whitespace), rest.size()));
}

/// @return whether the next token was this character and has been removed.
auto skipToken(std::string_view& rest, char token) -> bool
{
    skipWhitespace(rest);
    if (!rest.starts_with(token))
        return false;
    rest.remove_prefix(1);
    return true;
}

/// @return the size of the string at the start of the text with its quotes, or 0 if it does not end.
auto stringSize(std::string_view text) -> std::size_t
{
    for (std::size_t index = 1; index < text.size(); ++index) {
        if (text[index] == '"')
            return index + 1;
        if (text[index] == '\\')
            ++index;
    }
    return 0;
}

/// @return the size of the object or array at the start of the text, or 0 if it does not end.
auto bracketSize(std::string_view text) -> std::size_t
{
    std::size_t depth = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto character = text[index];
        if (character == '"') {
            const auto size = stringSize(text.substr(index));
            if (size == 0)
                return 0;
            index += size - 1;
        } else if (character == '{' || character == '[') {
            ++depth;
        } else if ((character == '}' || character == ']') && --depth == 0) {
            return index + 1;
        }
    }
    return 0;
}

auto valueSize(std::string_view text) -> std::size_t
{
    if (text.starts_with('"'))
        return stringSize(text);
    if (text.starts_with('{') || text.starts_with('['))
        return bracketSize(text);
    return std::min(text.find_first_of(",]} \t\n\r"), text.size());
}

/// @return the removed value; empty if there is none or it does not end.
auto takeValue(std::string_view& rest) -> std::string_view
{
    skipWhitespace(rest);
    const auto value = rest.substr(0, valueSize(rest));
    rest.remove_prefix(value.size());
    return value;
}

auto takeMember(std::string_view& rest) -> std::optional<JsonMember>
{
    skipWhitespace(rest);
    const auto name = rest.starts_with('"') ? takeValue(rest) : std::string_view();
    if (name.empty() || !skipToken(rest, ':'))
        return std::nullopt;
    const auto value = takeValue(rest);
    if (value.empty())
        return std::nullopt;
    return JsonMember { name.substr(1, name.size() - 2), value };
}

auto takeElement(std::string_view& rest) -> std::optional<std::string_view>
{
    const auto value = takeValue(rest);
    return value.empty() ? std::nullopt : std::optional(value);
}

/// @param take removes an element from the text.
template <typename Element>
auto split(std::string_view text, char open, char close, std::optional<Element> (*take)(std::string_view&)) -> std::optional<std::vector<Element>>
{
    std::vector<Element> elements;
    auto rest = text;
    if (!skipToken(rest, open))
        return std::nullopt;
    if (!skipToken(rest, close)) {
        do {
            const auto element = take(rest);
            if (!element)
                return std::nullopt;
            elements.push_back(*element);
        } while (skipToken(rest, ','));
        if (!skipToken(rest, close))
            return std::nullopt;
    }
    skipWhitespace(rest);
    return rest.empty() ? std::optional(std::move(elements)) : std::nullopt;
}

}

auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>
{
    return split<JsonMember>(text, '{', '}', takeMember);
}

auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>
{
    return split<std::string_view>(text, '[', ']', takeElement);
}

auto memberValue(std::span<const JsonMember> members, std::string_view name) -> std::string_view
{
    const auto found = std::find_if(members.rbegin(), members.rend(), [name](const JsonMember& member) { return member.name == name; });
    return found == members.rend() ? std::string_view() : found->value;
}

}
