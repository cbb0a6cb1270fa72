#pragma once

/// Reads the words of one line of a scenario and reports faults with their line and column.

#include "ScenarioError.h"
#include "Time.h"

#include <boost/leaf/result.hpp>

#include <string_view>
#include <vector>

namespace jayhold {

class WordReader {
public:
    /// @param line the line without its number; a word that starts with # ends it.
    WordReader(std::string_view line, std::size_t lineNumber);

    auto isAtEnd() const -> bool { return m_next == m_words.size(); }
    auto lineNumber() const -> std::size_t { return m_lineNumber; }
    /// @return the next word without taking it; empty at the end.
    auto peek() const -> std::string_view { return isAtEnd() ? std::string_view {} : m_words[m_next].text; }
    /// Takes the next word if it is the given one.
    auto accept(std::string_view word) -> bool;
    /// Takes the next word.
    auto word(std::string_view expected) -> boost::leaf::result<std::string>;
    /// Takes the given word.
    auto keyword(std::string_view word) -> boost::leaf::result<void>;
    auto number() -> boost::leaf::result<double>;
    /// Takes a number with a unit: `2 s` or `500 ms`, with or without the space.
    auto duration() -> boost::leaf::result<Duration>;
    /// Checks that nothing follows.
    auto end() const -> boost::leaf::result<void>;

    /// @return an error at the next word.
    auto error(std::string message) const -> boost::leaf::error_id;
    /// @return an error at the word that was taken last.
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
