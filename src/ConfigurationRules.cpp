#include "Configuration.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <set>

namespace jayhold {

namespace leaf = boost::leaf;

namespace {

auto elementPath(std::string_view list, std::size_t index) -> std::string
{
    return std::string(list) + "[" + std::to_string(index) + "]";
}

template <typename Item>
auto checkUnique(const std::vector<Item>& items, std::string_view listPath, std::set<std::string>& seen) -> leaf::result<void>
{
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (!seen.insert(items[index].name).second) {
            return leaf::new_error(ConfigError { ConfigErrorCode::DuplicateName, elementPath(listPath, index) + ".name",
                items[index].name + " is declared twice" });
        }
    }
    return {};
}

auto checkPool(const Service& service, const Pool& pool, const std::set<std::string>& zones, const std::string& path) -> leaf::result<void>
{
    if (!zones.contains(pool.availabilityZone)) {
        return leaf::new_error(ConfigError { ConfigErrorCode::UnknownReference, path + ".availability_zone",
            "availability zone " + pool.availabilityZone + " is not declared" });
    }
    const auto isPlain = pool.role == PoolRole::Plain;
    if (isPlain != (service.type == ServiceType::Plain)) {
        return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, path + ".role",
            "a " + std::string(name(service.type)) + " service can't have a " + std::string(name(pool.role)) + " pool" });
    }
    return {};
}

auto hasRole(const Service& service, PoolRole role) -> bool
{
    for (const auto& pool : service.pools) {
        if (pool.role == role)
            return true;
    }
    return false;
}

auto checkRoles(const Service& service, const std::string& path) -> leaf::result<void>
{
    const auto hasRequiredRoles = service.type == ServiceType::Plain
        ? hasRole(service, PoolRole::Plain)
        : hasRole(service, PoolRole::Prefill) && hasRole(service, PoolRole::Decode);
    if (!hasRequiredRoles) {
        return leaf::new_error(ConfigError { ConfigErrorCode::MissingKey, path + ".pools",
            service.type == ServiceType::Plain ? "the service has no pool" : "a model service needs a prefill pool and a decode pool" });
    }
    if (service.kinds.empty())
        return leaf::new_error(ConfigError { ConfigErrorCode::MissingKey, path + ".kinds", "the service has no request kind" });
    return {};
}

auto checkKinds(const Service& service, const std::string& path) -> leaf::result<void>
{
    for (std::size_t index = 0; index < service.kinds.size(); ++index) {
        if (service.type == ServiceType::Model && !service.kinds[index].repeatable) {
            return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, elementPath(path + ".kinds", index) + ".repeatable",
                "model requests can always be repeated" });
        }
    }
    return {};
}

auto checkService(const Service& service, const std::set<std::string>& zones, std::set<std::string>& poolNames, const std::string& path) -> leaf::result<void>
{
    BOOST_LEAF_CHECK(checkUnique(service.pools, path + ".pools", poolNames));
    std::set<std::string> kindNames;
    BOOST_LEAF_CHECK(checkUnique(service.kinds, path + ".kinds", kindNames));
    for (std::size_t index = 0; index < service.pools.size(); ++index)
        BOOST_LEAF_CHECK(checkPool(service, service.pools[index], zones, elementPath(path + ".pools", index)));
    BOOST_LEAF_CHECK(checkRoles(service, path));
    return checkKinds(service, path);
}

auto declaresKind(const Configuration& configuration, const RouteTarget& target, std::string_view kind) -> bool
{
    const auto service = std::ranges::find(configuration.services, target.service, &Service::name);
    return service != configuration.services.end() && std::ranges::find(service->kinds, kind, &RequestKind::name) != service->kinds.end();
}

auto checkRoute(const Configuration& configuration, const Route& route, const std::string& path) -> leaf::result<void>
{
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/')) {
        return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, path + ".path_prefix",
            "a path prefix begins and ends with a slash" });
    }
    if (route.targets.empty())
        return leaf::new_error(ConfigError { ConfigErrorCode::MissingKey, path + ".targets", "the route has no target" });
    for (std::size_t index = 0; index < route.targets.size(); ++index) {
        const auto& target = route.targets[index];
        if (!declaresKind(configuration, target, route.kind)) {
            return leaf::new_error(ConfigError { ConfigErrorCode::UnknownReference, elementPath(path + ".targets", index),
                "service " + target.service + " is not declared or has no kind " + route.kind });
        }
    }
    return {};
}

auto digestsOf(const OperatorKey& key) -> std::vector<std::string>
{
    return { key.keySha256 };
}

auto digestsOf(const Customer& customer) -> const std::vector<std::string>&
{
    return customer.keysSha256;
}

template <typename Item>
auto checkUniqueKeys(const std::vector<Item>& items, std::string_view listPath, std::set<std::string>& digests) -> leaf::result<void>
{
    for (std::size_t index = 0; index < items.size(); ++index) {
        for (const auto& digest : digestsOf(items[index])) {
            if (digests.insert(digest).second)
                continue;
            return leaf::new_error(ConfigError { ConfigErrorCode::DuplicateName, elementPath(listPath, index) + ".key_sha256",
                "the key is used by another entry" });
        }
    }
    return {};
}

}

auto validateConfiguration(const Configuration& configuration) -> leaf::result<void>
{
    std::set<std::string> operators;
    BOOST_LEAF_CHECK(checkUnique(configuration.operators, "$.operators", operators));
    std::set<std::string> zones;
    BOOST_LEAF_CHECK(checkUnique(configuration.availabilityZones, "$.availability_zones", zones));
    std::set<std::string> customers;
    BOOST_LEAF_CHECK(checkUnique(configuration.customers, "$.customers", customers));
    std::set<std::string> digests;
    BOOST_LEAF_CHECK(checkUniqueKeys(configuration.operators, "$.operators", digests));
    BOOST_LEAF_CHECK(checkUniqueKeys(configuration.customers, "$.customers", digests));
    std::set<std::string> services;
    BOOST_LEAF_CHECK(checkUnique(configuration.services, "$.services", services));
    // Pool names are unique across all services, because the instance list refers to pools by name. The
    // name `entry` is reserved for the entry instances.
    std::set<std::string> poolNames { "entry" };
    for (std::size_t index = 0; index < configuration.services.size(); ++index)
        BOOST_LEAF_CHECK(checkService(configuration.services[index], zones, poolNames, elementPath("$.services", index)));
    std::set<std::string> routes;
    BOOST_LEAF_CHECK(checkUnique(configuration.routes, "$.routes", routes));
    for (std::size_t index = 0; index < configuration.routes.size(); ++index)
        BOOST_LEAF_CHECK(checkRoute(configuration, configuration.routes[index], elementPath("$.routes", index)));
    return {};
}

auto checkVersionIsNewer(const Configuration& next, std::int64_t activeVersion) -> leaf::result<void>
{
    if (next.version > activeVersion)
        return {};
    return leaf::new_error(ConfigError { ConfigErrorCode::StaleVersion, "$.version",
        "version " + std::to_string(next.version) + " is not above " + std::to_string(activeVersion) + ", the version in force" });
}

}
