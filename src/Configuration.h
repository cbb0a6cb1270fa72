#pragma once

/// The configuration that operators declare and that every entry instance activates. It is a plain
/// struct. Free functions print it as JSON, parse and validate it, and compare two configurations.

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
    /// Increases with every change. An instance never replaces its active version by a lower one.
    std::int64_t version = 1;
    std::vector<OperatorKey> operators;
    std::vector<AvailabilityZone> availabilityZones;
    std::vector<Customer> customers;
    /// Whether requests that are forwarded unchanged need a customer's key, except on public routes. Without it they are
    /// forwarded with their credentials.
    bool requiresCustomerKey = false;
    std::vector<Service> services;
    std::vector<Route> routes;
    CallerLimits limits;

    auto operator==(const Configuration&) const -> bool = default;
};

/// @return the configuration in the JSON form that parseConfiguration() reads.
auto toJson(const Configuration& configuration) -> boost::json::value;

/// @return the configuration as indented JSON text, as `jayholdctl apply` reads it.
auto printConfiguration(const Configuration& configuration) -> std::string;

/// Parses and validates a configuration.
/// @return the configuration, or ConfigError for the first error found.
auto parseConfiguration(std::string_view text) -> boost::leaf::result<Configuration>;

/// Does the same for JSON that is parsed already.
auto configurationFromJson(const boost::json::value& value) -> boost::leaf::result<Configuration>;

/// Checks the rules that span several parts of a configuration: references, unique names and required
/// elements.
/// @return success, or ConfigError for the first error found.
auto validateConfiguration(const Configuration& configuration) -> boost::leaf::result<void>;

/// Checks that a configuration may replace the active one.
/// @param activeVersion version of the active configuration, 0 for none.
/// @return success, or ConfigError with StaleVersion.
auto checkVersionIsNewer(const Configuration& next, std::int64_t activeVersion) -> boost::leaf::result<void>;

}
