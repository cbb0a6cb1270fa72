#pragma once

/// Settings of the HTTP client and servers of a RouterDaemon.

#include "Configuration.h"
#include "ConnectionLimits.h"
#include "EntryLimits.h"
#include "EventLog.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "ReachedLimits.h"

namespace jayhold {

/// @param memoryBytes memory limit of the instance; 0 if it is not known.
/// @return the bytes of backend responses that the instance may hold at the same time.
auto responseBudgetBytes(std::size_t memoryBytes) -> std::size_t;

/// @param memoryBytes memory limit of the instance; 0 if it is not known.
/// @return the bytes of request bodies that the instance may hold at the same time.
auto requestBudgetBytes(std::size_t memoryBytes) -> std::size_t;

/// @param log receives a line for each response that is ended because the response budget is used up, or because it exceeds
/// a limit of its own.
/// @param reached counts the latter. Both must outlive all clients with the settings.
auto clientSettings(const EntryLimits& limits, const ConnectionLimits& connections, EventLog& log, ReachedLimits& reached) -> HttpClientSettings;

/// @param limits limits of the configuration in force for requests of callers.
/// @return the settings of the callers' address without the request budget and the functions.
auto serverSettings(const HttpEndpoint& endpoint, const CallerLimits& limits, const ConnectionLimits& connections) -> HttpServerSettings;

/// @return the settings of an address for probes and metrics, whose connections and memory are its own, so that those of
/// callers leave room for them.
auto probeSettings(const HttpEndpoint& endpoint, const ConnectionLimits& connections, std::size_t memoryBytes) -> HttpServerSettings;

}
