#include "AnsweredRequests.h"

namespace jayhold {

namespace {

/// Covers several seconds of an entry instance's share of 30,000 requests/s.
constexpr std::size_t maxRememberedRequests = 4'096;

}

auto AnsweredRequests::insert(RequestId request) -> void
{
    if (!m_set.insert(request).second)
        return;
    if (m_ring.size() < maxRememberedRequests) {
        m_ring.push_back(request);
        return;
    }
    m_set.erase(m_ring[m_next]);
    m_ring[m_next] = request;
    m_next = (m_next + 1) % maxRememberedRequests;
}

}
