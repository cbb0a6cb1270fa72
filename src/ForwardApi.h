#pragma once

/// The HTTP API of an instance that forwards requests unchanged: finds the route of each request and
/// passes it to its service.

#include "ForwardChecks.h"
#include "HttpExchange.h"
#include "ServiceTable.h"

#include <boost/asio/awaitable.hpp>

namespace jayhold {

class ForwardApi {
public:
    ForwardApi(EntryContext& context, ServiceTable& services);

    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>;

    /// Logs and counts the refusal of a request whose body was not read because there is no room for it.
    /// @param request without its body.
    auto refuseUnread(const HttpRequest& request) -> HttpResponse;

private:
    /// Serves a request if the quota of its customer allows it, and returns its amount if it does not run.
    auto serveWithinQuota(HttpExchange& exchange, const std::string& requestId, CheckedForward checked, QuotaDemand demand) -> boost::asio::awaitable<void>;
    auto serve(HttpExchange& exchange, CheckedForward checked) -> boost::asio::awaitable<void>;
    /// Finds the software version at which the request has to run: that of the stream that it takes up, or that of streams
    /// without a record while they can't be recorded.
    /// @return the refusal if the version of the stream is unknown.
    auto bindToVersion(const std::string& service, ModelRequestInfo& info) -> boost::asio::awaitable<std::optional<ApiError>>;
    auto refuse(HttpExchange& exchange, std::string_view requestId, const ApiError& error) -> boost::asio::awaitable<void>;
    /// @return the response to a request that is refused before its service has got it.
    auto recordRefusal(std::string_view requestId, const ApiError& error) -> HttpResponse;

    EntryContext& m_context;
    ServiceTable& m_services;
};

}
