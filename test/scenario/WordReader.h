#pragma once

/// Splits a line of a scenario into words and reports syntax errors with line and column.

#include "ScenarioError.h"
#include "Time.h"

#include <boost/leaf/result.hpp>

#include <string_view>
#include <vector>

namespace jayhold {

class WordReader {
public:
    /// @param line the text of the line. A word that starts with # starts a comment.
    WordReader(std::string_view line, std::size_t lineNumber);

    auto isAtEnd() const -> bool { return m_next == m_words.size(); }
    auto lineNumber() const -> std::size_t { return m_lineNumber; }
    /// @return the next word without consuming it; empty at the end.
    auto peek() const -> std::string_view { return isAtEnd() ? std::string_view {} : m_words[m_next].text; }
    /// Consumes the next word if it is the given one.
    auto accept(std::string_view word) -> bool;
    /// Consumes the next word.
    /// @param expected what the error message says if there is none.
    auto word(std::string_view expected) -> boost::leaf::result<std::string>;
    /// Consumes the given word, or returns an error if the next word is another one.
    auto keyword(std::string_view word) -> boost::leaf::result<void>;
    auto number() -> boost::leaf::result<double>;
    /// Consumes a number and its unit, such as `2 s` or `500ms`. The space is optional.
    auto duration() -> boost::leaf::result<Duration>;
    /// Checks that no words remain.
    auto end() const -> boost::leaf::result<void>;

    /// @return an error at the next word.
    auto error(std::string message) const -> boost::leaf::error_id;
    /// @return an error at the last consumed word.
    auto errorAtLast(std::string message) const -> boost::leaf::error_id;

private:
    struct Word {
        std::string_view text;
        std::size_t column;
    };

    std::size_t m_lineNumber;
    std::size_t m_endColumn;
    std::vector<Word> m_words;
    std::size_t m_next = 0;
};

}
