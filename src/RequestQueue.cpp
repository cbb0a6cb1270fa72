#include "RequestQueue.h"

#include <algorithm>

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
    ++m_customers[entry.flow.customer];
    switch (entry.subQueue) {
    case SubQueue::Resume:
        m_resumes[entry.version].emplace(entry.order, entry.request);
        break;
    case SubQueue::Overdue:
        overdueOf(entry).emplace(entry.order, entry.request);
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
        break;
    case SubQueue::Fair:
        removed = removeFair(entry);
        break;
    }
    m_size -= removed;
    const auto customer = m_customers.find(entry.flow.customer);
    customer->second -= removed;
    if (!customer->second)
        m_customers.erase(customer);
}

auto RequestQueue::pushFair(const QueueEntry& entry, double weight) -> void
{
    auto& flow = m_flows[entry.flow];
    auto& queueClass = classOf(entry.latencyClass);
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
    auto& flow = m_flows.at(entry.flow);
    auto& queueClass = classOf(entry.latencyClass);
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
    auto& flow = m_flows[entry.flow];
    auto& queueClass = classOf(entry.latencyClass);
    const auto active = queueClass.active.erase({ flow.startTag, entry.flow }) > 0;
    queueClass.virtualTime = std::max(queueClass.virtualTime, flow.startTag);
    flow.startTag += cost / flow.weight;
    if (active)
        queueClass.active.emplace(flow.startTag, entry.flow);
}

auto RequestQueue::oldest(LatencyClass latencyClass) const -> std::optional<RequestId>
{
    return first(classOf(latencyClass).byAge);
}

auto RequestQueue::oldestOverdue() const -> std::optional<RequestId>
{
    return first(m_overdue);
}

auto RequestQueue::oldestOverdueBatch() const -> std::optional<RequestId>
{
    return first(m_overdueBatch);
}

auto RequestQueue::flowSize(const FlowKey& flow) const -> std::size_t
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? 0 : found->second.waiting.size();
}

auto RequestQueue::customerSize(CustomerId customer) const -> std::size_t
{
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? 0 : found->second;
}

auto RequestQueue::share(const FlowKey& flow, LatencyClass latencyClass, double weight) const -> double
{
    const auto own = std::max(weight, minWeight);
    const auto others = classOf(latencyClass).activeWeight - (flowSize(flow) ? own : 0);
    return own / (own + std::max(others, 0.0));
}

}
