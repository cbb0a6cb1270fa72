#pragma once

/// Checks the index of each token event, so that the caller gets every token once and in order,
/// also where the stream resumes on another engine.

#include <cstdint>

namespace jayhold {

enum class TokenCheckResult {
    /// The next token; it goes to the caller.
    Next,
    /// A token that the caller has already.
    Duplicate,
    /// Tokens before this one are missing.
    Gap,
    /// An event after the end.
    AfterEnd,
};

/// What the indices of token events say.
enum class IndexRule {
    /// Each token has the index after the last one's, and the end names their number.
    Contiguous,
    /// An event may carry several tokens, so indices only rise.
    Increasing,
};

class TokenSequence {
public:
    /// @param first index of the first token that the caller lacks.
    explicit TokenSequence(IndexRule rule = IndexRule::Contiguous, std::uint32_t first = 0)
        : m_rule(rule)
        , m_count(first)
    {
    }

    /// @param index position of the token in the whole answer, from 0.
    auto acceptToken(std::uint32_t index) -> TokenCheckResult;
    /// @param total tokens of the whole answer, as the engine counts them.
    auto acceptEnd(std::uint32_t total) -> TokenCheckResult;

    /// @return tokens taken, which is also the index to resume at.
    auto count() const -> std::uint32_t { return m_count; }
    auto hasEnded() const -> bool { return m_hasEnded; }

private:
    IndexRule m_rule;
    std::uint32_t m_count;
    bool m_hasEnded = false;
};

}
