#pragma once

/// A plain service at an entry instance. Calls of repeatable kinds may be tried again on another
/// backend server; other calls run at most once, which their records guarantee.

#include "AtMostOnceRecords.h"
#include "EntryContext.h"
#include "HttpExchange.h"
#include "PlainAttempt.h"
#include "PlainBalancer.h"
#include "PlainCallInfo.h"
#include "RetryBudget.h"
#include "Service.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <mutex>
#include <span>
#include <string>

namespace jayhold {

class PlainService : public std::enable_shared_from_this<PlainService> {
public:
    /// @param sharing entry instances that use the same backend servers, this one included.
    PlainService(EntryContext& context, const Service& service, AtMostOnceRecords& records, std::uint32_t instanceCount = 1);

    auto name() const -> const std::string& { return m_name; }
    auto metrics() -> ServiceMetrics& { return *m_metrics; }

    auto updateConfiguration(const Service& service) -> void;
    /// Takes the whole list of backend servers; those of other services are ignored.
    auto updateBackends(std::span<const BackendServer> backends) -> void;
    /// @return retries that the budget allows now.
    auto remainingRetries() const -> double;
    auto updateInstanceCount(std::uint32_t instanceCount) -> void;
    auto backends() const -> std::vector<PlainBackend>;

    /// Runs a call and answers the caller.
    auto serve(HttpExchange& exchange, PlainCallInfo call) -> boost::asio::awaitable<void>;

private:
    /// What the coroutines of one call share.
    struct CallState {
        bool isCallerGone = false;
        /// Attempts that may have run.
        std::int64_t executions = 0;
        /// Backend servers that were tried.
        std::vector<std::string> triedBackends;
    };

    /// Runs a call on backend servers until one answers or no further attempt is allowed.
    /// @param isRepeatable whether a call that may have run can be sent again.
    auto runCall(HttpClient& client, const PlainCallInfo& call, bool isRepeatable, CallState& state) -> boost::asio::awaitable<PlainAttempt>;
    auto attemptOn(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call, Duration timeout) -> boost::asio::awaitable<PlainAttempt>;
    /// Judges a backend server's answer.
    auto attemptFromResponse(const BackendServer& backend, const PlainCallInfo& call, HttpResponse response) -> PlainAttempt;
    /// @return whether another attempt may follow.
    auto mayTryAgain(const PlainCallInfo& call, const CallState& state, const PlainAttempt& last, bool isRepeatable) -> bool;
    auto attemptTimeout(const PlainCallInfo& call, const CallState& state, bool isRepeatable) const -> Duration;
    /// Serves a call without a record: it runs once for each request, or may run again.
    auto serveUnrecorded(HttpExchange& exchange, const PlainCallInfo& call) -> boost::asio::awaitable<void>;
    auto serveRecorded(HttpExchange& exchange, const PlainCallInfo& call) -> boost::asio::awaitable<void>;
    auto runRecorded(HttpExchange& exchange, const PlainCallInfo& call, std::string key, std::string attemptId) -> boost::asio::awaitable<void>;
    auto respond(HttpExchange& exchange, const PlainCallInfo& call, HttpResponse response) -> boost::asio::awaitable<void>;
    auto refuse(HttpExchange& exchange, const PlainCallInfo& call, ApiError error) -> boost::asio::awaitable<void>;
    auto noResponseError(const PlainCallInfo& call, const PlainAttempt& attempt) const -> ApiError;

    auto acquire(std::span<const std::string> excluded) -> std::optional<BackendServer>;
    auto release(const std::string& id, bool isHealthy) -> void;
    auto abandon(const std::string& id) -> void;
    auto tryConsumeRetry() -> bool;
    auto record(LogLevel level, const PlainCallInfo& call, std::string_view event, std::initializer_list<LogField> details = {}) -> void;
    /// Records what places or refuses the call, with the age of what it rests on.
    auto recordDecision(const PlainCallInfo& call, std::string_view event, std::initializer_list<LogField> details) -> void;
    auto fieldsOf(const PlainCallInfo& call, std::initializer_list<LogField> details) const -> std::vector<LogField>;
    /// Applies the service's retry policy to the budget; with the lock held.
    auto updateBudgetLocked() -> void;

    EntryContext& m_context;
    AtMostOnceRecords& m_records;
    const std::string m_name;
    const std::shared_ptr<ServiceMetrics> m_metrics;

    mutable std::mutex m_lock;
    std::vector<Pool> m_pools;
    RetryPolicy m_retry;
    std::uint32_t m_instanceCount;
    PlainBalancer m_balancer;
    RetryBudget m_budget { plainRetryLimits };
};

}
