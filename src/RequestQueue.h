#pragma once

/// Requests that wait for a prefill. Latency classes are separate. Within a class, each flow (kind and
/// customer) gets service in proportion to its weight by start-time fair queueing, and the requests of
/// a flow are served in order of arrival.

#include "QueueEntry.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jayhold {

class RequestQueue {
public:
    auto push(const QueueEntry& entry, double weight) -> void;
    auto remove(const QueueEntry& entry) -> void;
    /// Charges the cost of serving the request to its flow.
    auto charge(const QueueEntry& entry, double cost) -> void;

    /// Fills `heads` with the first requests of as many flows of the class as fit, in order of their
    /// start tags.
    /// @return how many there are.
    template <std::size_t Count>
    auto heads(LatencyClass latencyClass, std::array<RequestId, Count>& heads) const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& [startTag, key] : classOf(latencyClass).active) {
            if (count == Count)
                break;
            heads[count++] = m_flows.at(key).waiting.begin()->second;
        }
        return count;
    }

    /// @return the request of the class that has waited longest.
    auto oldest(LatencyClass latencyClass) const -> std::optional<RequestId>;
    /// @return the oldest overdue request that is not batch work.
    auto oldestOverdue() const -> std::optional<RequestId>;
    /// @return the oldest overdue batch request. Batch work is still answered after its first-token
    /// target.
    auto oldestOverdueBatch() const -> std::optional<RequestId>;
    /// Requests by their order, the oldest first.
    using Waiting = std::set<std::pair<std::uint64_t, RequestId>>;
    /// @return the Resume sub-queue, by the software version at which the requests must run. Requests of a version whose
    /// replicas are full hold up no others.
    auto resumes() const -> const std::map<std::optional<SoftwareVersionId>, Waiting>& { return m_resumes; }

    auto size() const -> std::size_t { return m_size; }
    auto overdueCount() const -> std::size_t { return m_overdue.size(); }
    auto classSize(LatencyClass latencyClass) const -> std::size_t { return classOf(latencyClass).byAge.size(); }
    auto flowSize(const FlowKey& flow) const -> std::size_t;
    /// @return number of the customer's requests in all sub-queues.
    auto customerSize(CustomerId customer) const -> std::size_t;
    /// @return the fraction of its class's service that the flow gets as long as all waiting flows
    /// stay.
    auto share(const FlowKey& flow, LatencyClass latencyClass, double weight) const -> double;

private:
    struct Flow {
        Waiting waiting;
        double weight = 1;
        /// Virtual time at which the next service of the flow starts.
        double startTag = 0;
    };
    struct ClassQueue {
        /// Flows with waiting requests, by start tag.
        std::set<std::pair<double, FlowKey>> active;
        Waiting byAge;
        double virtualTime = 0;
        double activeWeight = 0;
    };

    auto classOf(LatencyClass latencyClass) const -> const ClassQueue& { return m_classes.at(static_cast<std::size_t>(latencyClass)); }
    auto classOf(LatencyClass latencyClass) -> ClassQueue& { return m_classes.at(static_cast<std::size_t>(latencyClass)); }
    auto pushFair(const QueueEntry& entry, double weight) -> void;
    auto removeFair(const QueueEntry& entry) -> std::size_t;
    auto removeResume(const QueueEntry& entry) -> std::size_t;

    std::map<FlowKey, Flow> m_flows;
    std::array<ClassQueue, 3> m_classes;
    auto overdueOf(const QueueEntry& entry) -> Waiting& { return entry.latencyClass == LatencyClass::Batch ? m_overdueBatch : m_overdue; }

    Waiting m_overdue;
    Waiting m_overdueBatch;
    std::map<std::optional<SoftwareVersionId>, Waiting> m_resumes;
    std::map<CustomerId, std::size_t> m_customers;
    std::size_t m_size = 0;
};

}
