#pragma once

/// The metrics of all services of an instance, printed in the Prometheus text format.

#include "ServiceMetrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace jayhold {

class Metrics {
public:
    /// @return the metrics of a service, created at the first call.
    auto service(std::string_view name) -> std::shared_ptr<ServiceMetrics>;

    /// @param openRequests requests in progress now.
    auto print(std::size_t openRequests) const -> std::string;

private:
    mutable std::mutex m_lock;
    std::map<std::string, std::shared_ptr<ServiceMetrics>, std::less<>> m_services;
};

}
