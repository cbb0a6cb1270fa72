#pragma once

/// The last requests that got their final answer, so that an arrival reported twice or after its
/// cancel does not run.

#include "Identifiers.h"

#include <cstddef>
#include <unordered_set>
#include <vector>

namespace jayhold {

class AnsweredRequests {
public:
    auto insert(RequestId request) -> void;
    auto contains(RequestId request) const -> bool { return m_set.contains(request); }

private:
    std::unordered_set<RequestId> m_set;
    /// Ring of the members, oldest at m_next once it is full.
    std::vector<RequestId> m_ring;
    std::size_t m_next = 0;
};

}
