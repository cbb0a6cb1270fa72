#pragma once

/// The calls to the platform's store, whatever their form: a budget of calls a second, a back-off
/// while the store fails, and typed outcomes. All members are thread-safe; a call runs on the thread
/// of the client that it is given.

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
    /// Longest time for one call that does not wait for changes.
    Duration timeout = std::chrono::seconds(1);
    double callsPerSecond = 100;
    /// Longest pause between two tries while the store fails.
    Duration maxBackOff = std::chrono::seconds(3);
    std::uint64_t seed = 1;
};

/// The connection to a store whose rate of calls all instances share.
/// @param callsPerSecondOfAll what all instances together may make.
auto sharedStoreSettings(HttpEndpoint endpoint, double callsPerSecondOfAll, std::uint64_t seed) -> StoreConnectionSettings;

/// Reads an answer to a call for one object.
/// @param parse reads the object from an answer that holds one.
/// @return the object; revision 0 where the store says that it does not exist.
auto readStoredObject(const StoreResult<HttpResponse>& answer, const std::function<StoreResult<StoredObject>(const HttpResponse&)>& parse) -> StoreResult<StoredObject>;

class StoreConnection {
public:
    explicit StoreConnection(StoreConnectionSettings settings);
    ~StoreConnection();
    StoreConnection(const StoreConnection&) = delete;
    auto operator=(const StoreConnection&) -> StoreConnection& = delete;

    /// Makes a call. Server errors and refusals for too many calls are errors; all other answers are
    /// the caller's to read.
    /// @param wait time that the store may hold the call besides the timeout of the settings.
    auto call(HttpClient& client, HttpRequest request, Duration wait = {}) -> boost::asio::awaitable<StoreResult<HttpResponse>>;

    auto counts() const -> StoreCallCounts;

    /// @return the time until the store is tried again; zero while it is not known to be away.
    auto retryAfter() const -> Duration;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

}
