#pragma once

/// The customers of a soak run, their quotas, and what their callers send. Some seeds run with customers.

#include "HttpHeader.h"
#include "Time.h"

#include <boost/json/array.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold::soak {

/// The bound on what the customers of a run may exceed their quotas by, as the instances' settings give it. The slack has
/// the same ratio to the smallest quota as on the users' deployment.
inline constexpr std::chrono::seconds quotaWindow { 8 };
inline constexpr double quotaOver = 0.1;
inline constexpr double quotaSlackTokens = 21'600;

struct SoakCustomer {
    std::string_view name;
    /// Requests or tokens per second; 0 if there is no limit.
    double ratePerS = 0;
    double burst = 0;
    bool countsTokens = false;
    /// What each of its requests counts: 1, or the tokens of the header Token-Counts of the soak's streams, which the
    /// configuration also names for requests without this header.
    double amount = 1;
};

/// Its callers stay below its quota: six of them, which send some 60 requests/s together.
inline constexpr SoakCustomer steadyCustomer { .name = "steady", .ratePerS = 120, .burst = 120 };
/// Its quota is 1.8 times what its one usual caller sends, about 10 requests/s.
inline constexpr SoakCustomer burstyCustomer { .name = "bursty", .ratePerS = 5'400, .burst = 5'400, .countsTokens = true, .amount = 300 };
/// Its key is withdrawn while faults are being injected.
inline constexpr SoakCustomer withdrawnCustomer { .name = "withdrawn", .ratePerS = 120, .burst = 120 };
/// Its key is added at the same time.
inline constexpr SoakCustomer addedCustomer { .name = "added", .ratePerS = 120, .burst = 120 };
inline constexpr SoakCustomer unlimitedCustomer { .name = "unlimited" };

inline constexpr std::array soakCustomers { steadyCustomer, burstyCustomer, withdrawnCustomer, addedCustomer, unlimitedCustomer };

/// @return the `tenants` of the configuration.
/// @param areKeysChanged whether the one key is withdrawn and the other one added.
auto customerEntries(bool areKeysChanged) -> boost::json::array;

/// The credentials of a request.
enum class Credentials : std::uint8_t {
    /// The run has no customers.
    None,
    Key,
    /// A valid key, and a header that names another customer.
    KeyBesideFalseName,
    /// Two valid header fields.
    TwoKeys,
    UnknownKey,
    Missing,
};

/// For whom a caller sends a request.
struct CallerIdentity {
    std::string customer {};
    Credentials credentials = Credentials::None;
    /// Whether the request uses the public route.
    bool isPublic = false;
};

/// @return whether the request has the key of its customer, which may not be valid at the time.
auto hasOwnKey(const CallerIdentity& identity) -> bool;

/// @return the customer whose name backend servers must get; empty if none.
auto forwardedCustomer(const CallerIdentity& identity) -> std::string;

/// Adds the headers of the credentials.
auto addCredentials(std::vector<HttpHeader>& headers, const CallerIdentity& identity) -> void;

/// @param caller number of a caller; those from `firstBurstCaller` on are the ones of the bursty customer while it exceeds
/// its quota.
/// @return for whom the caller sends requests.
auto customerOf(std::size_t caller) -> const SoakCustomer&;
inline constexpr std::size_t firstBurstCaller = 1'000;

/// @param random a random number that determines the credentials.
auto makeIdentity(const SoakCustomer& customer, bool isPlainRead, std::uint32_t random) -> CallerIdentity;

/// What happens to the customers of a run.
struct CustomerPlan {
    /// Times after the beginning of the faults.
    Duration keyChange {};
    Duration burst {};
    /// How many more callers the bursty customer then has; three to seven, so that it sends 4 to 8 times its usual load.
    std::size_t burstCallers = 0;
};

/// @return whether the run has customers: in a third of the seeds from the first one that was not recorded before
/// customers existed.
auto hasCustomers(std::uint64_t seed) -> bool;

/// @param duration time for which faults are injected.
/// @return nothing if the run has no customers.
auto planCustomers(std::uint64_t seed, Duration duration) -> std::optional<CustomerPlan>;

/// @return whether a backend server is slow in a run with customers: every fourth engine and the second plain server. The
/// engine that planCalmRelease() replaces, which is the first decode engine, is not.
/// @param firstEngine index of the first engine; the plain servers come before it.
auto isSlowBackend(std::size_t backend, std::size_t firstEngine) -> bool;

/// @return the speed of a backend server in a run with customers, in percent of the nominal one.
auto speedPercent(std::size_t backend, std::size_t firstEngine) -> std::int64_t;

}
