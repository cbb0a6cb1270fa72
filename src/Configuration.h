#pragma once

/// The configuration that operators declare and that is in force at every entry instance. It is
/// a plain struct; free functions print it as JSON, parse and check it, and compare two of them.

#include "AvailabilityZone.h"
#include "CallerLimits.h"
#include "ConfigError.h"
#include "Customer.h"
#include "OperatorKey.h"
#include "Route.h"
#include "Service.h"

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct Configuration {
    /// Grows with every change; an instance never goes back to a lower version.
    std::int64_t version = 1;
    std::vector<OperatorKey> operators;
    std::vector<AvailabilityZone> availabilityZones;
    std::vector<Customer> customers;
    std::vector<Service> services;
    std::vector<Route> routes;
    CallerLimits limits;

    auto operator==(const Configuration&) const -> bool = default;
};

/// @return the configuration in the JSON form that parseConfiguration() reads.
auto toJson(const Configuration& configuration) -> boost::json::value;

/// @return the configuration as indented JSON text, ready to be applied.
auto printConfiguration(const Configuration& configuration) -> std::string;

/// Parses and checks a configuration.
/// @return the configuration, or ConfigError for the first fault.
auto parseConfiguration(std::string_view text) -> boost::leaf::result<Configuration>;

/// The same for JSON that has been parsed already.
auto configurationFromJson(const boost::json::value& value) -> boost::leaf::result<Configuration>;

/// Checks references, names and counts between the parts of a configuration.
/// @return success, or ConfigError for the first fault.
auto validateConfiguration(const Configuration& configuration) -> boost::leaf::result<void>;

/// Checks that a configuration may replace the one in force.
/// @param activeVersion the version in force, 0 for none.
/// @return success, or ConfigError with StaleVersion.
auto checkVersionIsNewer(const Configuration& next, std::int64_t activeVersion) -> boost::leaf::result<void>;

}
