#pragma once

/// The HTTP API at the peer address: the endpoints for peer instances and the administration API for
/// operators.

#include "ApiError.h"
#include "ClusterNode.h"
#include "EntryContext.h"
#include "HttpExchange.h"
#include "ServiceTable.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace jayhold {

class AdminApi {
public:
    /// @param startDraining starts a graceful shutdown.
    AdminApi(EntryContext& context, ServiceTable& services, ClusterNode& node, std::function<void()> startDraining);

    /// Handles one request and sends the response.
    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>;

private:
    auto respond(HttpExchange& exchange, HttpResponse response) -> boost::asio::awaitable<void>;
    auto isOperator(const HttpRequest& request, std::string& name) const -> bool;
    auto route(HttpExchange& exchange, std::string name) -> boost::asio::awaitable<void>;
    auto showConfiguration() const -> HttpResponse;
    auto applyConfiguration(HttpExchange& exchange, std::string name) -> boost::asio::awaitable<void>;
    auto conflictResponse(const Configuration& proposed, const std::shared_ptr<const Configuration>& currentConfiguration) const -> HttpResponse;

    EntryContext& m_context;
    ServiceTable& m_services;
    ClusterNode& m_node;
    const std::function<void()> m_startDraining;
};

}
