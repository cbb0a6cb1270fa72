#pragma once

/// The use of a replica by a request of this shard that has ended. It shows what a lagging load report
/// counted.

#include "Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace jayhold {

struct EndedUsage {
    TimePoint start;
    TimePoint end;
    std::uint32_t memoryBlocks = 0;

    auto covers(TimePoint time) const -> bool { return start <= time && time < end; }
};

/// The uses that ended most recently. Eight are enough, because an engine ends about three streams a
/// second and reports lag by less than a second.
class RecentUsages {
public:
    auto add(const EndedUsage& use) -> void
    {
        m_usages.at(m_next) = use;
        m_next = (m_next + 1) % m_usages.size();
    }

    auto begin() const { return m_usages.begin(); }
    auto end() const { return m_usages.end(); }

private:
    std::array<EndedUsage, 8> m_usages {};
    std::size_t m_next = 0;
};

}
