#pragma once

/// Settings of the HTTP client and servers of a RouterDaemon.

#include "Configuration.h"
#include "HttpClient.h"
#include "HttpServer.h"

namespace jayhold {

auto clientSettings() -> HttpClientSettings;

/// @param limits limits of the configuration in force for requests of callers.
auto serverSettings(const HttpEndpoint& endpoint, const CallerLimits& limits) -> HttpServerSettings;

}
