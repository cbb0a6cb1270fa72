#pragma once

/// Checks the index of each token event, so that the caller gets every token exactly once and in order,
/// even if the stream resumes on another engine.

#include <cstdint>

namespace jayhold {

enum class TokenCheckResult {
    /// The next token, which is sent to the caller.
    Next,
    /// A token that the caller already has.
    Duplicate,
    /// Tokens before this one are missing.
    Gap,
    /// An event after the end.
    AfterEnd,
};

/// How the indices of consecutive token events relate.
enum class IndexRule {
    /// Indices are consecutive, and the end event gives the total number of tokens.
    Contiguous,
    /// Indices only increase, because an event may carry several tokens.
    Increasing,
};

class TokenSequence {
public:
    /// @param first index of the first token that the caller does not have.
    explicit TokenSequence(IndexRule rule = IndexRule::Contiguous, std::uint32_t first = 0)
        : m_rule(rule)
        , m_count(first)
    {
    }

    /// @param index zero-based position of the token in the complete response.
    auto acceptToken(std::uint32_t index) -> TokenCheckResult;
    /// @param total number of tokens in the complete response, as the engine counts them.
    auto acceptEnd(std::uint32_t total) -> TokenCheckResult;

    /// @return the number of accepted tokens, which is also the index at which to resume.
    auto count() const -> std::uint32_t { return m_count; }
    auto hasEnded() const -> bool { return m_hasEnded; }

private:
    IndexRule m_rule;
    std::uint32_t m_count;
    bool m_hasEnded = false;
};

}
