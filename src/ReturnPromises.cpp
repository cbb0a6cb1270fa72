#include "ReturnPromises.h"

#include <algorithm>
#include <numeric>

namespace jayhold {

auto ReturnPromises::add(RequestRank rank, std::uint64_t signature, TimePoint now, TimePoint returnAt) -> void
{
    expire(now);
    if (m_promises.size() >= maxPromises)
        return;
    const auto promise = m_promises.emplace(returnAt, Promise { rank, signature });
    ++m_counts[rank];
    if (signature)
        m_bySignature.emplace(signature, promise);
}

auto ReturnPromises::arrived(std::uint64_t signature) -> void
{
    if (const auto found = m_bySignature.find(signature); found != m_bySignature.end())
        erase(found->second);
}

auto ReturnPromises::countUpTo(RequestRank rank, TimePoint now) -> std::size_t
{
    expire(now);
    return std::accumulate(m_counts.begin(), m_counts.upper_bound(rank), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second; });
}

auto ReturnPromises::expire(TimePoint now) -> void
{
    while (!m_promises.empty() && m_promises.begin()->first <= now)
        erase(m_promises.begin());
}

auto ReturnPromises::erase(Promises::iterator promise) -> void
{
    const auto [first, last] = m_bySignature.equal_range(promise->second.signature);
    const auto entry = std::find_if(first, last, [&](const auto& found) { return found.second == promise; });
    if (entry != last)
        m_bySignature.erase(entry);
    const auto count = m_counts.find(promise->second.rank);
    if (!--count->second)
        m_counts.erase(count);
    m_promises.erase(promise);
}

}
