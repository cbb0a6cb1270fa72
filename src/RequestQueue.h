#pragma once

/// Requests that wait for a prefill. Ranks are separate, and latency classes within a rank. Within a class, each flow (kind and
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

    /// @return the ranks of the requests that have waited so far, the most urgent first.
    auto ranks() const -> std::vector<RequestRank>;

    /// Fills `heads` with the first requests of as many flows of the class as fit, in order of their
    /// start tags.
    /// @return how many there are.
    template <std::size_t Count>
    auto heads(RequestRank rank, LatencyClass latencyClass, std::array<RequestId, Count>& heads) const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& [startTag, key] : classOf(rank, latencyClass).active) {
            if (count == Count)
                break;
            heads[count++] = m_flows.at({ rank, key }).waiting.begin()->second;
        }
        return count;
    }

    /// @return the request of the class that has waited longest.
    auto oldest(RequestRank rank, LatencyClass latencyClass) const -> std::optional<RequestId>;
    /// @return the oldest overdue request of the rank that is not batch work.
    auto oldestOverdue(RequestRank rank) const -> std::optional<RequestId>;
    /// @return the oldest overdue batch request of the rank. Batch work is still answered after its first-token
    /// target.
    auto oldestOverdueBatch(RequestRank rank) const -> std::optional<RequestId>;
    /// @return the newest requests of the rank and of less urgent ones: the last of each flow, and the last overdue one of
    /// each rank.
    auto newest(RequestRank rank) const -> std::vector<RequestId>;
    /// Requests by their order, the oldest first.
    using Waiting = std::set<std::pair<std::uint64_t, RequestId>>;
    /// @return the Resume sub-queue, by the software version at which the requests must run. Requests of a version whose
    /// replicas are full hold up no others.
    auto resumes() const -> const std::map<std::optional<SoftwareVersionId>, Waiting>& { return m_resumes; }

    auto size() const -> std::size_t { return m_size; }
    auto overdueCount() const -> std::size_t { return m_overdueCount; }
    /// @return number of requests of the rank, except those of the Resume sub-queue.
    auto rankSize(RequestRank rank) const -> std::size_t;
    /// @return the same for all more urgent ranks.
    auto sizeBefore(RequestRank rank) const -> std::size_t;
    /// @return number of requests of the Resume sub-queue.
    auto resumeCount() const -> std::size_t;
    auto classSize(RequestRank rank, LatencyClass latencyClass) const -> std::size_t { return classOf(rank, latencyClass).byAge.size(); }
    auto flowSize(RequestRank rank, const FlowKey& flow) const -> std::size_t;
    /// @return the customer's requests in all sub-queues.
    auto customerRequests(CustomerId customer) const -> const Waiting&;
    /// @return their number.
    auto customerSize(CustomerId customer) const -> std::size_t { return customerRequests(customer).size(); }
    /// @return the fraction of its class's service that the flow gets as long as all waiting flows
    /// stay.
    auto share(RequestRank rank, const FlowKey& flow, LatencyClass latencyClass, double weight) const -> double;

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

    struct RankQueue {
        std::array<ClassQueue, 3> classes;
        Waiting overdue;
        Waiting overdueBatch;

        auto size() const -> std::size_t;
    };
    using RankedFlow = std::pair<RequestRank, FlowKey>;

    auto rankOf(RequestRank rank) const -> const RankQueue&;
    auto classOf(RequestRank rank, LatencyClass latencyClass) const -> const ClassQueue& { return rankOf(rank).classes.at(static_cast<std::size_t>(latencyClass)); }
    auto classOf(const QueueEntry& entry) -> ClassQueue& { return m_ranks[entry.rank].classes.at(static_cast<std::size_t>(entry.latencyClass)); }
    auto overdueOf(const QueueEntry& entry) -> Waiting&;
    auto pushFair(const QueueEntry& entry, double weight) -> void;
    auto removeFair(const QueueEntry& entry) -> std::size_t;
    auto removeResume(const QueueEntry& entry) -> std::size_t;

    std::map<RankedFlow, Flow> m_flows;
    std::map<RequestRank, RankQueue> m_ranks;
    /// Overdue requests of all ranks that are not batch work.
    std::size_t m_overdueCount = 0;
    std::map<std::optional<SoftwareVersionId>, Waiting> m_resumes;
    std::map<CustomerId, Waiting> m_customers;
    std::size_t m_size = 0;
};

}
