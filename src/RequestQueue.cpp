#include "RequestQueue.h"

#include <algorithm>
#include <numeric>

namespace jayhold {

namespace {

constexpr double minWeight = 1e-6;

template <typename Waiting>
auto first(const Waiting& waiting) -> std::optional<RequestId>
{
    if (waiting.empty())
        return std::nullopt;
    return waiting.begin()->second;
}

}

auto RequestQueue::push(const QueueEntry& entry, double weight) -> void
{
    ++m_size;
    m_customers[entry.flow.customer].emplace(entry.order, entry.request);
    switch (entry.subQueue) {
    case SubQueue::Resume:
        m_resumes[entry.version].emplace(entry.order, entry.request);
        break;
    case SubQueue::Overdue:
        m_overdueCount += overdueOf(entry).emplace(entry.order, entry.request).second && entry.latencyClass != LatencyClass::Batch;
        break;
    case SubQueue::Fair:
        pushFair(entry, std::max(weight, minWeight));
        break;
    }
}

auto RequestQueue::remove(const QueueEntry& entry) -> void
{
    const std::pair position { entry.order, entry.request };
    std::size_t removed = 0;
    switch (entry.subQueue) {
    case SubQueue::Resume:
        removed = removeResume(entry);
        break;
    case SubQueue::Overdue:
        removed = overdueOf(entry).erase(position);
        m_overdueCount -= entry.latencyClass == LatencyClass::Batch ? 0 : removed;
        break;
    case SubQueue::Fair:
        removed = removeFair(entry);
        break;
    }
    m_size -= removed;
    const auto customer = m_customers.find(entry.flow.customer);
    if (removed)
        customer->second.erase(position);
    if (customer->second.empty())
        m_customers.erase(customer);
}

auto RequestQueue::pushFair(const QueueEntry& entry, double weight) -> void
{
    auto& flow = m_flows[{ entry.rank, entry.flow }];
    auto& queueClass = classOf(entry);
    if (flow.waiting.empty()) {
        flow.weight = weight;
        flow.startTag = std::max(flow.startTag, queueClass.virtualTime);
        queueClass.active.emplace(flow.startTag, entry.flow);
        queueClass.activeWeight += weight;
    }
    flow.waiting.emplace(entry.order, entry.request);
    queueClass.byAge.emplace(entry.order, entry.request);
}

auto RequestQueue::removeFair(const QueueEntry& entry) -> std::size_t
{
    auto& flow = m_flows.at({ entry.rank, entry.flow });
    auto& queueClass = classOf(entry);
    const auto removed = flow.waiting.erase({ entry.order, entry.request });
    queueClass.byAge.erase({ entry.order, entry.request });
    if (removed && flow.waiting.empty()) {
        queueClass.active.erase({ flow.startTag, entry.flow });
        // A reset to zero keeps rounding errors from accumulating.
        queueClass.activeWeight = queueClass.active.empty() ? 0 : queueClass.activeWeight - flow.weight;
    }
    return removed;
}

auto RequestQueue::removeResume(const QueueEntry& entry) -> std::size_t
{
    const auto found = m_resumes.find(entry.version);
    if (found == m_resumes.end())
        return 0;
    const auto removed = found->second.erase({ entry.order, entry.request });
    if (found->second.empty())
        m_resumes.erase(found);
    return removed;
}

auto RequestQueue::charge(const QueueEntry& entry, double cost) -> void
{
    if (entry.subQueue != SubQueue::Fair)
        return;
    auto& flow = m_flows[{ entry.rank, entry.flow }];
    auto& queueClass = classOf(entry);
    const auto active = queueClass.active.erase({ flow.startTag, entry.flow }) > 0;
    queueClass.virtualTime = std::max(queueClass.virtualTime, flow.startTag);
    flow.startTag += cost / flow.weight;
    if (active)
        queueClass.active.emplace(flow.startTag, entry.flow);
}

auto RequestQueue::rankOf(RequestRank rank) const -> const RankQueue&
{
    static const RankQueue empty;
    const auto found = m_ranks.find(rank);
    return found == m_ranks.end() ? empty : found->second;
}

auto RequestQueue::overdueOf(const QueueEntry& entry) -> Waiting&
{
    auto& queue = m_ranks[entry.rank];
    return entry.latencyClass == LatencyClass::Batch ? queue.overdueBatch : queue.overdue;
}

auto RequestQueue::ranks() const -> std::vector<RequestRank>
{
    std::vector<RequestRank> ranks;
    ranks.reserve(m_ranks.size());
    for (const auto& [rank, queue] : m_ranks)
        ranks.push_back(rank);
    return ranks;
}

auto RequestQueue::oldest(RequestRank rank, LatencyClass latencyClass) const -> std::optional<RequestId>
{
    return first(classOf(rank, latencyClass).byAge);
}

auto RequestQueue::oldestOverdue(RequestRank rank) const -> std::optional<RequestId>
{
    return first(rankOf(rank).overdue);
}

auto RequestQueue::oldestOverdueBatch(RequestRank rank) const -> std::optional<RequestId>
{
    return first(rankOf(rank).overdueBatch);
}

auto RequestQueue::newest(RequestRank rank) const -> std::vector<RequestId>
{
    std::vector<RequestId> newest;
    for (auto entry = m_ranks.lower_bound(rank); entry != m_ranks.end(); ++entry) {
        const auto& queue = entry->second;
        for (const auto& queueClass : queue.classes) {
            for (const auto& [startTag, flow] : queueClass.active)
                newest.push_back(m_flows.at({ entry->first, flow }).waiting.rbegin()->second);
        }
        if (!queue.overdue.empty())
            newest.push_back(queue.overdue.rbegin()->second);
    }
    return newest;
}

auto RequestQueue::RankQueue::size() const -> std::size_t
{
    auto size = overdue.size() + overdueBatch.size();
    for (const auto& queueClass : classes)
        size += queueClass.byAge.size();
    return size;
}

auto RequestQueue::rankSize(RequestRank rank) const -> std::size_t
{
    return rankOf(rank).size();
}

auto RequestQueue::sizeBefore(RequestRank rank) const -> std::size_t
{
    return std::accumulate(m_ranks.begin(), m_ranks.lower_bound(rank), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second.size(); });
}

auto RequestQueue::resumeCount() const -> std::size_t
{
    return std::accumulate(m_resumes.begin(), m_resumes.end(), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second.size(); });
}

auto RequestQueue::flowSize(RequestRank rank, const FlowKey& flow) const -> std::size_t
{
    const auto found = m_flows.find({ rank, flow });
    return found == m_flows.end() ? 0 : found->second.waiting.size();
}

auto RequestQueue::customerRequests(CustomerId customer) const -> const Waiting&
{
    static const Waiting none;
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? none : found->second;
}

auto RequestQueue::share(RequestRank rank, const FlowKey& flow, LatencyClass latencyClass, double weight) const -> double
{
    const auto own = std::max(weight, minWeight);
    const auto others = classOf(rank, latencyClass).activeWeight - (flowSize(rank, flow) ? own : 0);
    return own / (own + std::max(others, 0.0));
}

}
