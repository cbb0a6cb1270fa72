#pragma once

/// The requests that most recently got their final answer. An arrival that is reported twice or after
/// its cancellation does not run.

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
    /// Ring buffer of the members. Once it is full, the oldest is at m_next.
    std::vector<RequestId> m_ring;
    std::size_t m_next = 0;
};

}
