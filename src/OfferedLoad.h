#pragma once

/// Offered load of each rank and latency class: the number of slots and the memory that its arriving requests would hold on
/// average, as exponentially decaying sums.

#include "LatencyClass.h"
#include "RequestRank.h"
#include "Time.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <map>

namespace jayhold {

class OfferedLoad {
public:
    /// @param holdSeconds expected time for which the request holds a slot.
    /// @param tokens tokens for which it reserves memory.
    auto arrived(RequestRank rank, LatencyClass latencyClass, TimePoint now, double holdSeconds, double tokens) -> void
    {
        auto& entry = m_ranks[rank].at(static_cast<std::size_t>(latencyClass));
        const auto fraction = remaining(entry, now);
        entry = { entry.holdSeconds * fraction + holdSeconds, entry.tokenSeconds * fraction + holdSeconds * tokens, entry.tokens * fraction + tokens, entry.squares * fraction + tokens * tokens, entry.arrivals * fraction + 1, entry.starts * fraction, now };
    }

    /// Records that a request has started for the first time.
    auto started(RequestRank rank, LatencyClass latencyClass, TimePoint now) -> void
    {
        auto& entry = m_ranks[rank].at(static_cast<std::size_t>(latencyClass));
        entry.starts += 1 / remaining(entry, now);
    }

    /// @return whether requests of the rank start less than a third as often as all. The bound for callers is a quarter.
    auto startsTooRarely(RequestRank rank, TimePoint now) const -> bool
    {
        constexpr double minShare = 1.0 / 3;
        double arrivals = 0;
        double starts = 0;
        double ownArrivals = 0;
        double ownStarts = 0;
        for (const auto& [other, entries] : m_ranks) {
            for (const auto& entry : entries) {
                const auto fraction = remaining(entry, now);
                arrivals += entry.arrivals * fraction;
                starts += entry.starts * fraction;
                ownArrivals += other == rank ? entry.arrivals * fraction : 0;
                ownStarts += other == rank ? entry.starts * fraction : 0;
            }
        }
        // One start more or less says nothing about a rank of few requests.
        return (ownStarts + 1) * arrivals < minShare * starts * ownArrivals;
    }

    /// @return the slots that the requests of the class would hold if all of them ran.
    auto slots(RequestRank rank, LatencyClass latencyClass, TimePoint now) const -> double
    {
        const auto found = m_ranks.find(rank);
        if (found == m_ranks.end())
            return 0;
        const auto& entry = found->second.at(static_cast<std::size_t>(latencyClass));
        return entry.holdSeconds * remaining(entry, now) / decayTimeSeconds;
    }

    /// What the requests of the ranks before one would hold if all of them ran.
    struct Demand {
        double slots = 0;
        double tokens = 0;
        /// Mean size of a request in tokens, weighted by size, so that it covers the large ones.
        double requestTokens = 0;
    };

    /// @param isIncluded whether the requests of the rank itself count.
    auto upTo(RequestRank rank, bool isIncluded, TimePoint now) const -> Demand
    {
        Demand demand;
        double tokens = 0;
        double squares = 0;
        const auto end = isIncluded ? m_ranks.upper_bound(rank) : m_ranks.lower_bound(rank);
        for (auto entries = m_ranks.begin(); entries != end; ++entries) {
            for (const auto& entry : entries->second) {
                const auto fraction = remaining(entry, now);
                demand.slots += entry.holdSeconds * fraction / decayTimeSeconds;
                demand.tokens += entry.tokenSeconds * fraction / decayTimeSeconds;
                tokens += entry.tokens * fraction;
                squares += entry.squares * fraction;
            }
        }
        demand.requestTokens = tokens > 0 ? squares / tokens : 0;
        return demand;
    }

private:
    struct Entry {
        double holdSeconds = 0;
        double tokenSeconds = 0;
        double tokens = 0;
        double squares = 0;
        double arrivals = 0;
        double starts = 0;
        TimePoint at;
    };

    /// Time constant of the decay: long compared with bursts and short compared with a working day.
    static constexpr double decayTimeSeconds = 15;

    static auto remaining(const Entry& entry, TimePoint now) -> double
    {
        return std::exp(static_cast<double>((entry.at - now).count()) / 1e6 / decayTimeSeconds);
    }

    std::map<RequestRank, std::array<Entry, 3>> m_ranks;
};

}
