#include "WordReader.h"

#include <boost/leaf/error.hpp>

#include <charconv>
#include <optional>

namespace jayhold {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view whitespace = " \t\r";

/// @return the number of microseconds in a unit, or nothing if the unit is unknown.
auto microsecondsPerUnit(std::string_view text) -> std::optional<double>
{
    if (text == "us")
        return 1;
    if (text == "ms")
        return 1e3;
    if (text == "s")
        return 1e6;
    if (text == "min")
        return 60e6;
    return std::nullopt;
}

}

WordReader::WordReader(std::string_view line, std::size_t lineNumber)
    : m_lineNumber(lineNumber)
    , m_endColumn(line.size() + 1)
{
    for (auto start = line.find_first_not_of(whitespace); start != std::string_view::npos; start = line.find_first_not_of(whitespace, start)) {
        if (line[start] == '#')
            break;
        const auto end = std::min(line.find_first_of(whitespace, start), line.size());
        m_words.push_back({ line.substr(start, end - start), start + 1 });
        start = end;
    }
}

auto WordReader::error(std::string message) const -> leaf::error_id
{
    const auto column = isAtEnd() ? m_endColumn : m_words[m_next].column;
    return leaf::new_error(ScenarioError { m_lineNumber, column, std::move(message) });
}

auto WordReader::errorAtLast(std::string message) const -> leaf::error_id
{
    const auto column = m_next == 0 ? m_endColumn : m_words[m_next - 1].column;
    return leaf::new_error(ScenarioError { m_lineNumber, column, std::move(message) });
}

auto WordReader::accept(std::string_view word) -> bool
{
    if (isAtEnd() || m_words[m_next].text != word)
        return false;
    ++m_next;
    return true;
}

auto WordReader::word(std::string_view expected) -> leaf::result<std::string>
{
    if (isAtEnd())
        return error("expected " + std::string(expected));
    return std::string(m_words[m_next++].text);
}

auto WordReader::keyword(std::string_view word) -> leaf::result<void>
{
    if (!accept(word))
        return error("expected \"" + std::string(word) + "\"");
    return {};
}

auto WordReader::number() -> leaf::result<double>
{
    const auto text = peek();
    double value = 0;
    const auto [rest, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || code != std::errc {} || rest != text.data() + text.size())
        return error("expected a number");
    ++m_next;
    return value;
}

auto WordReader::duration() -> leaf::result<Duration>
{
    const auto text = peek();
    double value = 0;
    const auto [rest, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || code != std::errc {} || value < 0)
        return error("expected a duration such as 2 s or 500 ms");
    ++m_next;
    auto unitText = std::string_view(rest, static_cast<std::size_t>(text.data() + text.size() - rest));
    if (unitText.empty() && !isAtEnd())
        unitText = m_words[m_next++].text;
    const auto unit = microsecondsPerUnit(unitText);
    if (!unit)
        return errorAtLast("expected a unit: us, ms, s or min");
    return Duration(static_cast<std::int64_t>(value * *unit));
}

auto WordReader::end() const -> leaf::result<void>
{
    if (!isAtEnd())
        return error("unexpected word after the end of the statement");
    return {};
}

}
