#pragma once

/// Calls to the platform's store, independent of their format: a rate limit, back-off while the store
/// fails, and typed errors. All members are thread-safe; a call runs on the thread of the given
/// client.

#include "HttpClient.h"
#include "StoreCallCounts.h"
#include "StoreError.h"
#include "StoredObject.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace jayhold {

struct StoreConnectionSettings {
    /// Addresses of the store, tried in turn.
    std::vector<HttpEndpoint> endpoints;
    /// Timeout of a call that does not wait for changes.
    Duration timeout = std::chrono::seconds(1);
    double callsPerSecond = 100;
    /// Maximum delay between two attempts while the store fails.
    Duration maxBackOff = std::chrono::seconds(3);
    std::uint64_t seed = 1;
};

/// Settings for a store whose limit of the call rate applies to all instances together.
/// @param totalCallsPerSecond maximum call rate of all instances together.
auto sharedStoreSettings(HttpEndpoint endpoint, double totalCallsPerSecond, std::uint64_t seed) -> StoreConnectionSettings;

/// Evaluates the response to a read of one object.
/// @param parse parses a response that contains an object.
/// @return the object; revision 0 if the store reports that it does not exist.
auto readStoredObject(const StoreResult<HttpResponse>& response, const std::function<StoreResult<StoredObject>(const HttpResponse&)>& parse) -> StoreResult<StoredObject>;

class StoreConnection {
public:
    explicit StoreConnection(StoreConnectionSettings settings);
    ~StoreConnection();
    StoreConnection(const StoreConnection&) = delete;
    auto operator=(const StoreConnection&) -> StoreConnection& = delete;

    /// Makes a call. Server errors (status 500 and above) and status 429 are returned as errors; the
    /// caller evaluates all other responses.
    /// @param wait time for which the store may hold the call, in addition to the configured timeout.
    auto call(HttpClient& client, HttpRequest request, Duration wait = {}) -> boost::asio::awaitable<StoreResult<HttpResponse>>;

    auto counts() const -> StoreCallCounts;

    /// @return the time until the next attempt; zero while the store is not known to be unavailable.
    auto retryAfter() const -> Duration;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

}
