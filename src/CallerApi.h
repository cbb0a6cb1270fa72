#pragma once

/// The API for callers: checks requests and hands them to the services.

#include "ApiError.h"
#include "CompletionRequest.h"
#include "EntryContext.h"
#include "HttpExchange.h"
#include "ServiceTable.h"

#include <boost/asio/awaitable.hpp>

namespace jayhold {

class CallerApi {
public:
    CallerApi(EntryContext& context, ServiceTable& services);

    /// Answers one request.
    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>;

private:
    auto serveHealth(HttpExchange& exchange) -> boost::asio::awaitable<bool>;
    auto serveRequest(HttpExchange& exchange) -> boost::asio::awaitable<void>;
    auto serveCompletion(HttpExchange& exchange, const ConfigurationIndex& index, CustomerId customer, CompletionApi api) -> boost::asio::awaitable<void>;
    auto servePlain(HttpExchange& exchange, const ConfigurationIndex& index, CustomerId customer) -> boost::asio::awaitable<void>;
    auto refuse(HttpExchange& exchange, ApiError error) -> boost::asio::awaitable<void>;

    EntryContext& m_context;
    ServiceTable& m_services;
};

}
