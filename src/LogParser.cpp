#include "LogParser.h"

#include <algorithm>
#include <charconv>

namespace jayhold {

namespace {

auto isKeyCharacter(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '_';
}

/// @param rest starts after the backslash; the escape sequence is removed from it.
auto consumeEscape(std::string_view& rest) -> char
{
    const auto kind = rest.front();
    rest.remove_prefix(1);
    if (kind == 'n')
        return '\n';
    constexpr std::size_t digits = 2;
    unsigned code = 0;
    if (kind != 'x' || rest.size() < digits || std::from_chars(rest.data(), rest.data() + digits, code, 16).ptr != rest.data() + digits)
        return kind;
    rest.remove_prefix(digits);
    return static_cast<char>(code);
}

/// @param rest starts after the opening quote; the value and the closing quote are removed from it.
/// @param isTruncated set if there is no closing quote.
auto consumeQuoted(std::string_view& rest, bool& isTruncated) -> std::string
{
    std::string value;
    while (!rest.empty()) {
        const auto character = rest.front();
        rest.remove_prefix(1);
        if (character == '"')
            return value;
        if (character == '\\' && !rest.empty())
            value += consumeEscape(rest);
        else
            value += character;
    }
    isTruncated = true;
    return value;
}

auto consumeWord(std::string_view& rest) -> std::string
{
    const auto end = std::min(rest.find(' '), rest.size());
    std::string word(rest.substr(0, end));
    rest.remove_prefix(end);
    return word;
}

auto assignField(ParsedLogLine& line, std::string_view key, std::string value) -> void
{
    if (key == "time")
        line.time = parseHybridTime(value);
    else if (key == "event")
        line.event = std::move(value);
    else if (key == "instance")
        line.instance = std::move(value);
    else
        line.fields.emplace_back(key, std::string_view(value));
}

}

auto ParsedLogLine::field(std::string_view key) const -> std::string_view
{
    const auto found = std::ranges::find(fields, key, &LogField::key);
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

auto parseLogLine(std::string_view line) -> std::optional<ParsedLogLine>
{
    ParsedLogLine parsed;
    auto found = false;
    while (!line.empty()) {
        const auto end = std::ranges::find_if_not(line, isKeyCharacter) - line.begin();
        const auto key = line.substr(0, static_cast<std::size_t>(end));
        line.remove_prefix(key.size());
        if (key.empty() || line.empty() || line.front() != '=') {
            // A word of a prefix, or the rest of a pair whose beginning is missing.
            consumeWord(line);
            line.remove_prefix(std::min<std::size_t>(line.size(), 1));
            continue;
        }
        line.remove_prefix(1);
        auto isQuoted = !line.empty() && line.front() == '"';
        if (isQuoted)
            line.remove_prefix(1);
        assignField(parsed, key, isQuoted ? consumeQuoted(line, parsed.isTruncated) : consumeWord(line));
        line.remove_prefix(std::min<std::size_t>(line.find_first_not_of(' '), line.size()));
        found = true;
    }
    return found ? std::optional(std::move(parsed)) : std::nullopt;
}

}
