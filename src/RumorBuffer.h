#pragma once

/// Rumors that spread by gossip. Each instance forwards a new rumor a limited number of times, which
/// reaches all members of a zone with high probability. After that, the rumor causes no more traffic.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>
#include <vector>

namespace jayhold {

template <typename Rumor>
struct RumorBuffer {
    /// Messages that carry a rumor. Three peers in each of eight rounds reach 47 instances even if a tenth
    /// of the messages is lost.
    unsigned sendsPerRumor = 24;
    /// Maximum number of known rumors. The oldest are removed first.
    std::size_t capacity = 4'096;

    struct Pending {
        Rumor rumor;
        unsigned remainingSends;
    };

    std::set<Rumor> known;
    std::deque<Rumor> order;
    std::deque<Pending> pending;
};

/// Marks a rumor as known without forwarding it.
/// @return whether the rumor is new.
template <typename Rumor>
auto markKnown(RumorBuffer<Rumor>& buffer, const Rumor& rumor) -> bool
{
    if (!buffer.known.insert(rumor).second)
        return false;
    buffer.order.push_back(rumor);
    if (buffer.order.size() > buffer.capacity) {
        buffer.known.erase(buffer.order.front());
        buffer.order.pop_front();
    }
    return true;
}

/// Marks a rumor as known and forwards it.
/// @return whether the rumor is new.
template <typename Rumor>
auto addRumor(RumorBuffer<Rumor>& buffer, const Rumor& rumor) -> bool
{
    if (!markKnown(buffer, rumor))
        return false;
    buffer.pending.push_back({ rumor, buffer.sendsPerRumor });
    return true;
}

/// @return at most `limit` rumors for the next message, in round-robin order.
template <typename Rumor>
auto takeRumors(RumorBuffer<Rumor>& buffer, std::size_t limit) -> std::vector<Rumor>
{
    std::vector<Rumor> rumors;
    const auto count = std::min(limit, buffer.pending.size());
    for (std::size_t index = 0; index < count; ++index) {
        auto item = std::move(buffer.pending.front());
        buffer.pending.pop_front();
        rumors.push_back(item.rumor);
        if (--item.remainingSends > 0)
            buffer.pending.push_back(std::move(item));
    }
    return rumors;
}

/// Removes a rumor, so that it counts as new when it is added again.
template <typename Rumor>
auto removeRumor(RumorBuffer<Rumor>& buffer, const Rumor& rumor) -> void
{
    if (buffer.known.erase(rumor) == 0)
        return;
    std::erase(buffer.order, rumor);
    std::erase_if(buffer.pending, [&](const auto& item) { return item.rumor == rumor; });
}

}
