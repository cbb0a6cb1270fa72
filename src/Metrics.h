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

    /// One value of the instance as a whole.
    struct Sample {
        std::string_view name;
        std::string_view help;
        double value;
        bool isCounter = false;
        /// Gauges of one name stand together and differ in the value of one label.
        std::string_view label {};
        std::string labelValue {};
    };

    /// @param openRequests requests in progress now.
    /// @param gauges further values of the instance.
    auto print(std::size_t openRequests, std::span<const Sample> samples = {}) const -> std::string;

    /// Counts a refusal by its reason.
    auto countRefusal(std::string_view reason) -> void;

private:
    mutable std::mutex m_lock;
    std::map<std::string, std::shared_ptr<ServiceMetrics>, std::less<>> m_services;
    std::map<std::string, std::uint64_t, std::less<>> m_refusals;
};

}
