#include "ConfigurationIndex.h"

#include "LowerCase.h"
#include "RequestRank.h"
#include "Sha256.h"

#include <algorithm>

namespace jayhold {

namespace {

/// In lower case; the names of authentication schemes are compared without case.
constexpr std::string_view bearerPrefix = "bearer ";

auto digestOf(std::optional<std::string_view> authorization) -> std::optional<std::string>
{
    if (!authorization || lowerCase(authorization->substr(0, bearerPrefix.size())) != bearerPrefix)
        return std::nullopt;
    auto key = authorization->substr(bearerPrefix.size());
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    if (key.empty())
        return std::nullopt;
    return sha256Hex(key);
}

}

ConfigurationIndex::ConfigurationIndex(std::shared_ptr<const Configuration> configuration, const std::vector<std::string>& operatorDigests)
    : m_configuration(std::move(configuration))
    , m_routes(m_configuration->routes)
{
    for (std::size_t index = 0; index < m_configuration->customers.size(); ++index) {
        for (const auto& digest : m_configuration->customers[index].keysSha256) {
            const auto customer = static_cast<CustomerId>(index);
            const auto [known, isNew] = m_customers.emplace(digest, customer);
            if (!isNew && known->second != customer)
                known->second = std::nullopt;
        }
    }
    for (const auto& key : m_configuration->operators)
        m_operators.emplace(key.keySha256, key.name);
    for (const auto& digest : operatorDigests)
        m_operators.emplace(digest, "settings");
}

// The map compares digests instead of keys. The time of a comparison reveals only information about the
// digest of the presented key, from which the key can't be derived.
auto ConfigurationIndex::customerOf(std::optional<std::string_view> authorization) const -> std::optional<CustomerId>
{
    const auto digest = digestOf(authorization);
    const auto found = digest ? m_customers.find(*digest) : m_customers.end();
    return found == m_customers.end() ? std::nullopt : found->second;
}

auto ConfigurationIndex::operatorOf(std::optional<std::string_view> authorization) const -> std::optional<std::string>
{
    const auto digest = digestOf(authorization);
    const auto found = digest ? m_operators.find(*digest) : m_operators.end();
    return found == m_operators.end() ? std::nullopt : std::optional(found->second);
}

auto ConfigurationIndex::customer(CustomerId customer) const -> const Customer&
{
    return m_configuration->customers.at(static_cast<std::size_t>(customer));
}

auto ConfigurationIndex::customerName(CustomerId customer) const -> const std::string&
{
    return this->customer(customer).name;
}

auto ConfigurationIndex::customerPriority(CustomerId customer) const -> std::int64_t
{
    const auto& customers = m_configuration->customers;
    const auto index = static_cast<std::size_t>(customer);
    return index < customers.size() ? customers[index].priority.value_or(defaultPriority) : defaultPriority;
}

auto ConfigurationIndex::service(std::string_view name) const -> const Service*
{
    const auto found = std::ranges::find(m_configuration->services, name, &Service::name);
    return found == m_configuration->services.end() ? nullptr : &*found;
}

auto ConfigurationIndex::modelService(std::string_view name, std::string_view model) const -> const Service*
{
    const Service* only = nullptr;
    auto count = 0;
    for (const auto& candidate : m_configuration->services) {
        if (candidate.type != ServiceType::Model)
            continue;
        if (!name.empty() ? candidate.name == name : candidate.model == model)
            return &candidate;
        only = &candidate;
        ++count;
    }
    return name.empty() && model.empty() && count == 1 ? only : nullptr;
}

auto ConfigurationIndex::zoneOf(std::string_view name) const -> ZoneId
{
    const auto& zones = m_configuration->availabilityZones;
    return static_cast<ZoneId>(std::ranges::find(zones, name, &AvailabilityZone::name) - zones.begin());
}

auto findKind(const Service& service, std::string_view name) -> std::optional<KindId>
{
    if (name.empty())
        return KindId {};
    const auto found = std::ranges::find(service.kinds, name, &RequestKind::name);
    if (found == service.kinds.end())
        return std::nullopt;
    return static_cast<KindId>(found - service.kinds.begin());
}

}
