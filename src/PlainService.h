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
    PlainService(EntryContext& context, const Service& service, AtMostOnceRecords& records);

    auto name() const -> const std::string& { return m_name; }
    auto metrics() -> ServiceMetrics& { return *m_metrics; }

    auto updateConfiguration(const Service& service) -> void;
    /// Takes the whole list of backend servers; those of other services are ignored.
    auto updateBackends(std::span<const BackendServer> backends) -> void;
    auto backends() const -> std::vector<PlainBackend>;

    /// Runs a call and answers the caller.
    auto serve(HttpExchange& exchange, PlainCallInfo call) -> boost::asio::awaitable<void>;

private:
    /// Runs a call on backend servers until one answers or no further attempt is allowed.
    /// @param mayRepeat whether a call that may have run can be sent again.
    auto runCall(HttpClient& client, const PlainCallInfo& call, bool mayRepeat) -> boost::asio::awaitable<PlainAttempt>;
    auto tryOn(HttpClient& client, const BackendServer& backend, const PlainCallInfo& call) -> boost::asio::awaitable<PlainAttempt>;
    auto serveRepeatable(HttpExchange& exchange, const PlainCallInfo& call) -> boost::asio::awaitable<void>;
    auto serveOnce(HttpExchange& exchange, const PlainCallInfo& call) -> boost::asio::awaitable<void>;
    auto runRecorded(HttpExchange& exchange, const PlainCallInfo& call, std::string key, std::string attemptId) -> boost::asio::awaitable<void>;
    auto answer(HttpExchange& exchange, const PlainCallInfo& call, HttpResponse response) -> boost::asio::awaitable<void>;
    auto refuse(HttpExchange& exchange, const PlainCallInfo& call, ApiError error) -> boost::asio::awaitable<void>;
    auto unanswered(const PlainAttempt& attempt) const -> ApiError;

    auto acquire(std::span<const std::string> excluded) -> std::optional<BackendServer>;
    auto release(const std::string& id, bool isHealthy) -> void;
    auto takeRetry() -> bool;
    auto record(const PlainCallInfo& call, std::string_view event, std::string_view backend, std::string_view detail) -> void;

    EntryContext& m_context;
    AtMostOnceRecords& m_records;
    const std::string m_name;
    const std::shared_ptr<ServiceMetrics> m_metrics;

    mutable std::mutex m_lock;
    std::vector<Pool> m_pools;
    PlainBalancer m_balancer;
    RetryBudget m_budget { plainRetryLimits };
};

}
