#pragma once

/// Requests that wait for a prefill. Latency classes are kept apart; within a class, each flow (kind
/// and customer) gets service in proportion to its weight (start-time fair queueing), and a flow
/// serves its requests in order of arrival. Requests that missed their first-token target wait apart.

#include "FlowKey.h"
#include "Identifiers.h"
#include "LatencyClass.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jayhold {

/// What the queue needs to know of a request; the order is that of arrival.
struct QueueEntry {
    RequestId request {};
    std::uint64_t order = 0;
    FlowKey flow;
    LatencyClass latencyClass = LatencyClass::Standard;
    bool late = false;
};

class RequestQueue {
public:
    auto push(const QueueEntry& entry, double weight) -> void;
    auto remove(const QueueEntry& entry) -> void;
    /// Charges the service that the request got to its flow.
    auto charge(const QueueEntry& entry, double cost) -> void;

    /// @return the first requests of up to `count` flows of the class, the flow that is due first first.
    auto heads(LatencyClass latencyClass, std::size_t count) const -> std::vector<RequestId>;
    /// @return the request of the class that has waited longest.
    auto oldest(LatencyClass latencyClass) const -> std::optional<RequestId>;
    /// @return the first of the late requests.
    auto oldestLate() const -> std::optional<RequestId>;

    auto size() const -> std::size_t { return m_size; }
    auto lateSize() const -> std::size_t { return m_late.size(); }
    auto flowSize(const FlowKey& flow) const -> std::size_t;

private:
    using Waiting = std::set<std::pair<std::uint64_t, RequestId>>;
    struct Flow {
        Waiting waiting;
        double weight = 1;
        /// Virtual time at which the next service of the flow starts.
        double tag = 0;
    };
    struct Class {
        /// Flows with waiting requests, by tag.
        std::set<std::pair<double, FlowKey>> active;
        Waiting byAge;
        double virtualTime = 0;
    };

    auto classOf(const QueueEntry& entry) -> Class& { return m_classes.at(static_cast<std::size_t>(entry.latencyClass)); }

    std::map<FlowKey, Flow> m_flows;
    std::array<Class, 3> m_classes;
    Waiting m_late;
    std::size_t m_size = 0;
};

}
