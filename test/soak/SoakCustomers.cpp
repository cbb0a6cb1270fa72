#include "SoakCustomers.h"

#include "ReplicaControl.h"

#include <boost/json/object.hpp>

#include <random>

namespace jayhold::soak {

namespace json = boost::json;

namespace {

/// Lower seeds were recorded before the soak had customers, and reproduce their runs.
constexpr std::uint64_t firstSeedWithCustomers = 100'000;
/// Number of the random sequence of the customers, so that they move no fault of a plan.
constexpr std::uint64_t customerSequence = 1'001;

auto customerRandom(std::uint64_t seed) -> std::mt19937_64
{
    std::seed_seq sequence { seed, customerSequence };
    return std::mt19937_64(sequence);
}

auto keyOf(std::string_view customer) -> std::string
{
    return std::string(keyMark) + std::string(customer);
}

}

auto customerEntries(bool areKeysChanged) -> json::array
{
    json::array entries;
    for (const auto& customer : soakCustomers) {
        const auto lacksKey = customer.name == (areKeysChanged ? withdrawnCustomer : addedCustomer).name;
        entries.push_back(json::object { { "name", customer.name }, { "apiKeys", lacksKey ? json::array() : json::array { keyOf(customer.name) } }, { "unit", customer.countsTokens ? "token_stream" : "request" },
            { "uncachedTokens", customer.amount }, { "ratePerS", customer.ratePerS }, { "burst", customer.burst } });
    }
    return entries;
}

auto hasOwnKey(const CallerIdentity& identity) -> bool
{
    return identity.credentials == Credentials::Key || identity.credentials == Credentials::KeyBesideFalseName;
}

auto forwardedCustomer(const CallerIdentity& identity) -> std::string
{
    return hasOwnKey(identity) ? identity.customer : std::string();
}

auto addCredentials(std::vector<HttpHeader>& headers, const CallerIdentity& identity) -> void
{
    const auto add = [&](const std::string& key) { headers.push_back({ "Authorization", "Bearer " + key }); };
    if (identity.credentials == Credentials::KeyBesideFalseName || identity.credentials == Credentials::Missing)
        headers.push_back({ "Tenant", std::string(addedCustomer.name) });
    if (identity.credentials == Credentials::UnknownKey)
        add(keyOf("unknown"));
    if (hasOwnKey(identity) || identity.credentials == Credentials::TwoKeys)
        add(keyOf(identity.customer));
    if (identity.credentials == Credentials::TwoKeys)
        add(keyOf(unlimitedCustomer.name));
}

auto customerOf(std::size_t caller) -> const SoakCustomer&
{
    // Of the first group of 16 callers. The later group has no caller of the customers that stay below their quotas, so
    // that these send the same load all the time.
    constexpr std::size_t steadyCallers = 6;
    constexpr std::size_t withdrawnCallers = 8;
    constexpr std::size_t addedCallers = 10;
    if (caller < steadyCallers)
        return steadyCustomer;
    if (caller < withdrawnCallers)
        return withdrawnCustomer;
    if (caller < addedCallers)
        return addedCustomer;
    return caller == addedCallers || caller >= firstBurstCaller ? burstyCustomer : unlimitedCustomer;
}

auto makeIdentity(const SoakCustomer& customer, bool isPlainRead, std::uint32_t random) -> CallerIdentity
{
    constexpr std::uint32_t oddVariants = 24;
    CallerIdentity identity { std::string(customer.name), Credentials::Key };
    if (customer.name == withdrawnCustomer.name || customer.name == addedCustomer.name)
        return identity;
    switch (random % oddVariants) {
    case 0:
        identity.credentials = Credentials::TwoKeys;
        break;
    case 1:
        identity.credentials = Credentials::UnknownKey;
        break;
    case 2:
        identity.credentials = Credentials::Missing;
        break;
    case 3:
    case 4:
        identity.credentials = Credentials::KeyBesideFalseName;
        break;
    default:
        break;
    }
    identity.isPublic = isPlainRead && random / oddVariants % 2 == 0;
    return identity;
}

auto hasCustomers(std::uint64_t seed) -> bool
{
    constexpr std::uint64_t seedsPerRunWithCustomers = 3;
    return seed >= firstSeedWithCustomers && customerRandom(seed)() % seedsPerRunWithCustomers == 0;
}

auto planCustomers(std::uint64_t seed, Duration duration) -> std::optional<CustomerPlan>
{
    constexpr std::size_t minBurstCallers = 3;
    constexpr std::size_t burstVariants = 5;
    if (!hasCustomers(seed))
        return std::nullopt;
    auto random = customerRandom(seed);
    random.discard(1);
    const auto upTo = [&](Duration most) { return Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(most.count() + 1))); };
    CustomerPlan plan;
    plan.keyChange = duration / 4 + upTo(duration / 2);
    plan.burst = upTo(duration / 2);
    plan.burstCallers = minBurstCallers + random() % burstVariants;
    return plan;
}

auto isSlowBackend(std::size_t backend, std::size_t firstEngine) -> bool
{
    constexpr std::size_t slowPlainServer = 1;
    constexpr std::size_t enginesPerSlowOne = 4;
    constexpr std::size_t slowEngine = 2;
    return backend < firstEngine ? backend == slowPlainServer : (backend - firstEngine) % enginesPerSlowOne == slowEngine;
}

auto speedPercent(std::size_t backend, std::size_t firstEngine) -> std::int64_t
{
    constexpr std::int64_t slowPercent = 55;
    constexpr std::int64_t fastPercent = 120;
    return isSlowBackend(backend, firstEngine) ? slowPercent : fastPercent;
}

}
