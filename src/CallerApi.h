#pragma once

/// The HTTP API for callers: validates requests and passes them to the services.

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

    /// Handles one request and sends its response.
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
