#include "RequestQueue.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr double minimumWeight = 1e-6;

}

auto RequestQueue::push(const QueueEntry& entry, double weight) -> void
{
    ++m_size;
    if (entry.late) {
        m_late.emplace(entry.order, entry.request);
        return;
    }
    auto& flow = m_flows[entry.flow];
    auto& owner = classOf(entry);
    flow.weight = std::max(weight, minimumWeight);
    if (flow.waiting.empty()) {
        flow.tag = std::max(flow.tag, owner.virtualTime);
        owner.active.emplace(flow.tag, entry.flow);
    }
    flow.waiting.emplace(entry.order, entry.request);
    owner.byAge.emplace(entry.order, entry.request);
}

auto RequestQueue::remove(const QueueEntry& entry) -> void
{
    if (entry.late) {
        m_size -= m_late.erase({ entry.order, entry.request });
        return;
    }
    auto& flow = m_flows[entry.flow];
    auto& owner = classOf(entry);
    m_size -= flow.waiting.erase({ entry.order, entry.request });
    owner.byAge.erase({ entry.order, entry.request });
    if (flow.waiting.empty())
        owner.active.erase({ flow.tag, entry.flow });
}

auto RequestQueue::charge(const QueueEntry& entry, double cost) -> void
{
    if (entry.late)
        return;
    auto& flow = m_flows[entry.flow];
    auto& owner = classOf(entry);
    const auto active = owner.active.erase({ flow.tag, entry.flow }) > 0;
    owner.virtualTime = std::max(owner.virtualTime, flow.tag);
    flow.tag += cost / flow.weight;
    if (active)
        owner.active.emplace(flow.tag, entry.flow);
}

auto RequestQueue::heads(LatencyClass latencyClass, std::size_t count) const -> std::vector<RequestId>
{
    std::vector<RequestId> heads;
    for (const auto& [tag, key] : m_classes.at(static_cast<std::size_t>(latencyClass)).active) {
        if (heads.size() == count)
            break;
        heads.push_back(m_flows.at(key).waiting.begin()->second);
    }
    return heads;
}

auto RequestQueue::oldest(LatencyClass latencyClass) const -> std::optional<RequestId>
{
    const auto& byAge = m_classes.at(static_cast<std::size_t>(latencyClass)).byAge;
    if (byAge.empty())
        return std::nullopt;
    return byAge.begin()->second;
}

auto RequestQueue::oldestLate() const -> std::optional<RequestId>
{
    if (m_late.empty())
        return std::nullopt;
    return m_late.begin()->second;
}

auto RequestQueue::flowSize(const FlowKey& flow) const -> std::size_t
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? 0 : found->second.waiting.size();
}

}
