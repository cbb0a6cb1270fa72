#pragma once

/// The callers that were refused with a retry delay and have not returned yet. Each is expected to return at the end of its
/// delay and to need one start, so callers of its rank and of less urgent ranks that are refused later get a longer delay.

#include "RequestRank.h"
#include "Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace jayhold {

class ReturnPromises {
public:
    /// Limits the memory for callers that retry often with different requests. At 5 ms for each start, so many returns take
    /// as long as the longest delay.
    static constexpr std::size_t maxPromises = 4'096;

    /// Records that a caller has been told to return; ignored if there are too many.
    /// @param signature digest of its request, 0 if it is not known.
    auto add(RequestRank rank, std::uint64_t signature, TimePoint now, TimePoint returnAt) -> void;
    /// Records that a request has arrived. If its caller was told to return, it has come back.
    auto arrived(std::uint64_t signature) -> void;
    /// @return number of callers of the rank and of more urgent ones that have not returned and whose delay has not passed.
    auto countUpTo(RequestRank rank, TimePoint now) -> std::size_t;

private:
    struct Promise {
        RequestRank rank;
        std::uint64_t signature = 0;
    };
    using Promises = std::multimap<TimePoint, Promise>;

    auto expire(TimePoint now) -> void;
    auto erase(Promises::iterator promise) -> void;

    /// By the end of the delay.
    Promises m_promises;
    std::map<RequestRank, std::size_t> m_counts;
    std::unordered_multimap<std::uint64_t, Promises::iterator> m_bySignature;
};

}
