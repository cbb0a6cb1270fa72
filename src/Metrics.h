#pragma once

/// The metrics of all services of an instance, printed in the Prometheus text format.

#include "ServiceMetrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace jayhold {

class Metrics {
public:
    /// @return the metrics of a service, created at the first call.
    auto service(std::string_view name) -> std::shared_ptr<ServiceMetrics>;

    /// A single gauge or counter of the instance.
    struct Sample {
        std::string_view name;
        std::string_view help;
        double value;
        bool isCounter = false;
        /// Samples with the same name are adjacent and differ in the value of this label.
        std::string_view label {};
        std::string labelValue {};
    };

    /// @param openRequests number of requests in progress.
    /// @param samples further gauges and counters of the instance.
    /// @return all metrics in the Prometheus text format.
    auto print(std::size_t openRequests, std::span<const Sample> samples = {}) const -> std::string;

    auto countRefusal(std::string_view reason) -> void;
    auto countClosedConnection(std::string_view reason) -> void;

    /// Counts a waiting request that was refused in favour of a more costly one.
    /// @param rank its rank; series beyond the first maxDisplacedSeries are counted together as `other`.
    auto countDisplaced(std::string_view service, std::string_view kind, std::string_view rank) -> void;

    static constexpr std::size_t maxDisplacedSeries = 64;

private:
    using Counts = std::map<std::string, std::uint64_t, std::less<>>;

    mutable std::mutex m_lock;
    std::map<std::string, std::shared_ptr<ServiceMetrics>, std::less<>> m_services;
    Counts m_refusals;
    Counts m_closedConnections;
    /// By labels.
    Counts m_displaced;
};

}
