#pragma once

/// Facts that spread by gossip: each instance passes a fact on a limited number of times after it
/// learned it, which reaches all members of a zone with high probability and then costs nothing.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>
#include <vector>

namespace jayhold {

template <typename Fact>
struct RumorBuffer {
    /// Messages that carry a fact. Three peers in each of eight rounds reach 47 instances also
    /// where a tenth of the messages is lost.
    unsigned sendsPerFact = 24;
    /// Facts remembered as known; the oldest are forgotten first.
    std::size_t capacity = 4'096;

    struct Pending {
        Fact fact;
        unsigned sendsLeft;
    };

    std::set<Fact> known;
    std::deque<Fact> order;
    std::deque<Pending> pending;
};

/// Takes a fact that others pass on.
/// @return whether it is new here.
template <typename Fact>
auto noteKnown(RumorBuffer<Fact>& buffer, const Fact& fact) -> bool
{
    if (!buffer.known.insert(fact).second)
        return false;
    buffer.order.push_back(fact);
    if (buffer.order.size() > buffer.capacity) {
        buffer.known.erase(buffer.order.front());
        buffer.order.pop_front();
    }
    return true;
}

/// Takes a fact and passes it on.
/// @return whether it is new here.
template <typename Fact>
auto learn(RumorBuffer<Fact>& buffer, const Fact& fact) -> bool
{
    if (!noteKnown(buffer, fact))
        return false;
    buffer.pending.push_back({ fact, buffer.sendsPerFact });
    return true;
}

/// @return facts for the next message, at most `limit`, those in turn longest first.
template <typename Fact>
auto takeRumors(RumorBuffer<Fact>& buffer, std::size_t limit) -> std::vector<Fact>
{
    std::vector<Fact> facts;
    const auto count = std::min(limit, buffer.pending.size());
    for (std::size_t index = 0; index < count; ++index) {
        auto item = std::move(buffer.pending.front());
        buffer.pending.pop_front();
        facts.push_back(item.fact);
        if (--item.sendsLeft > 0)
            buffer.pending.push_back(std::move(item));
    }
    return facts;
}

/// Forgets a fact, so that it counts as new when it is learned again.
template <typename Fact>
auto forget(RumorBuffer<Fact>& buffer, const Fact& fact) -> void
{
    if (buffer.known.erase(fact) == 0)
        return;
    std::erase(buffer.order, fact);
    std::erase_if(buffer.pending, [&](const auto& item) { return item.fact == fact; });
}

}
