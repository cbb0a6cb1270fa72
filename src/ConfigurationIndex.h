#pragma once

/// Lookup tables for the active configuration, built once for each version. An index is immutable, so
/// that requests use it without a lock.

#include "Configuration.h"
#include "Identifiers.h"
#include "RouteTable.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jayhold {

class ConfigurationIndex {
public:
    /// @param operatorDigests SHA-256 digests of operator keys that are accepted in addition to those
    /// of the configuration.
    ConfigurationIndex(std::shared_ptr<const Configuration> configuration, const std::vector<std::string>& operatorDigests);

    auto configuration() const -> const Configuration& { return *m_configuration; }

    /// @param authorization value of the Authorization header.
    /// @return the customer whose key the header carries, or nothing for an unknown key and for one that several customers
    /// claim.
    auto customerOf(std::optional<std::string_view> authorization) const -> std::optional<CustomerId>;
    /// @return the name of the operator whose key the header carries, or nothing for an unknown key.
    auto operatorOf(std::optional<std::string_view> authorization) const -> std::optional<std::string>;

    auto customer(CustomerId customer) const -> const Customer&;
    auto customerName(CustomerId customer) const -> const std::string&;
    /// @return the priority of the customer; the default if it has none or there is no such customer.
    auto customerPriority(CustomerId customer) const -> std::int64_t;

    /// @return the service with this name, or null.
    auto service(std::string_view name) const -> const Service*;
    /// Finds a model service by name or, if the name is empty, by model. If both are empty, the result
    /// is the only model service.
    /// @return the service, or null if none or no single one matches.
    auto modelService(std::string_view name, std::string_view model) const -> const Service*;

    /// @return the route of a request that is forwarded unchanged, or null.
    auto route(std::string_view host, std::string_view path) const -> const Route* { return m_routes.find(host, path); }

    /// @return the index of a zone in the configuration, or the number of zones for a zone that is not
    /// declared.
    auto zoneOf(std::string_view name) const -> ZoneId;

private:
    const std::shared_ptr<const Configuration> m_configuration;
    /// By digest; nothing for a key that several customers claim.
    std::unordered_map<std::string, std::optional<CustomerId>> m_customers;
    std::unordered_map<std::string, std::string> m_operators;
    RouteTable m_routes;
};

/// @return the index of a request kind in its service by name; the first if the name is empty, nothing
/// if it is unknown.
auto findKind(const Service& service, std::string_view name) -> std::optional<KindId>;

}
