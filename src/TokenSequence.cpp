#include "TokenSequence.h"

namespace jayhold {

auto TokenSequence::takeToken(std::uint32_t index) -> TokenVerdict
{
    if (m_hasEnded)
        return TokenVerdict::AfterEnd;
    if (index < m_count)
        return TokenVerdict::Repeated;
    if (m_rule == IndexRule::Contiguous && index > m_count)
        return TokenVerdict::Gap;
    m_count = index + 1;
    return TokenVerdict::Next;
}

auto TokenSequence::takeEnd(std::uint32_t total) -> TokenVerdict
{
    if (m_hasEnded)
        return TokenVerdict::AfterEnd;
    // An engine that ends before or after the tokens it sent has lost some; the answer is not
    // complete and must not be reported as such.
    if (m_rule == IndexRule::Contiguous && total != m_count)
        return TokenVerdict::Gap;
    m_hasEnded = true;
    return TokenVerdict::Next;
}

}
