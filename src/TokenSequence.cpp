#include "TokenSequence.h"

namespace jayhold {

auto TokenSequence::acceptToken(std::uint32_t index) -> TokenCheckResult
{
    if (m_hasEnded)
        return TokenCheckResult::AfterEnd;
    if (index < m_count)
        return TokenCheckResult::Duplicate;
    if (m_rule == IndexRule::Contiguous && index > m_count)
        return TokenCheckResult::Gap;
    m_count = index + 1;
    return TokenCheckResult::Next;
}

auto TokenSequence::acceptEnd(std::uint32_t total) -> TokenCheckResult
{
    if (m_hasEnded)
        return TokenCheckResult::AfterEnd;
    // If the engine counts more or fewer tokens than arrived, tokens were lost, and the response must not
    // be reported as complete.
    if (m_rule == IndexRule::Contiguous && total != m_count)
        return TokenCheckResult::Gap;
    m_hasEnded = true;
    return TokenCheckResult::Next;
}

}
